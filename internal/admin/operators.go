package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"regexp"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Bounds on requests without a valid token. A request over them is answered
// 429 and not logged, so that guessing cannot fill the log.
const (
	badTokensPerSecond = 2
	badTokenBurst      = 20
)

// OperatorSetting is one token as the node's settings hold it.
type OperatorSetting struct {
	Name        string
	Team        string
	TokenSHA256 string // 64 hexadecimal digits
	ReadOnly    bool
}

// Operator is who sends a request.
type Operator struct {
	Name     string
	Team     string
	ReadOnly bool
}

// SettingError names the operator setting that is not allowed.
type SettingError struct {
	Index  int
	Field  string
	Reason string
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("admin: operator %d: %s %s", e.Index, e.Field, e.Reason)
}

type credential struct {
	hash     [sha256.Size]byte
	operator Operator
}

// Operators knows the operators' tokens by their hashes. Replace swaps all of
// them at run time; requests in progress keep what they were let in with.
type Operators struct {
	current atomic.Pointer[[]credential]
	bad     *rate.Limiter
}

// NewOperators returns the operators of the given settings.
func NewOperators(settings []OperatorSetting) (*Operators, error) {
	o := &Operators{bad: rate.NewLimiter(badTokensPerSecond, badTokenBurst)}
	return o, o.Replace(settings)
}

// Replace puts new settings in the place of all old ones, or returns a
// *SettingError and changes nothing.
func (o *Operators) Replace(settings []OperatorSetting) error {
	list := make([]credential, len(settings))
	seen := make(map[[sha256.Size]byte]bool, len(settings))
	for i, s := range settings {
		c, err := parseSetting(i, s)
		if err != nil {
			return err
		}
		if seen[c.hash] {
			return &SettingError{i, "token_sha256", "stands twice"}
		}
		seen[c.hash] = true
		list[i] = c
	}
	o.current.Store(&list)
	return nil
}

var settingName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func parseSetting(i int, s OperatorSetting) (credential, error) {
	c := credential{operator: Operator{Name: s.Name, Team: s.Team, ReadOnly: s.ReadOnly}}
	if !settingName.MatchString(s.Name) {
		return c, &SettingError{i, "name", "must be 1 to 63 letters, digits, '.', '_' or '-'"}
	}
	if !settingName.MatchString(s.Team) {
		return c, &SettingError{i, "team", "must be 1 to 63 letters, digits, '.', '_' or '-'"}
	}
	hash, err := hex.DecodeString(s.TokenSHA256)
	if err != nil || len(hash) != sha256.Size {
		return c, &SettingError{i, "token_sha256", "must be 64 hexadecimal digits"}
	}
	c.hash = [sha256.Size]byte(hash)
	return c, nil
}

// find returns the operator of a token. It compares the hash with every entry,
// each in constant time, so that the time taken tells nothing about a hash.
func (o *Operators) find(token string) (Operator, bool) {
	hash := sha256.Sum256([]byte(token))
	var found Operator
	var ok bool
	for _, c := range *o.current.Load() {
		if subtle.ConstantTimeCompare(hash[:], c.hash[:]) == 1 {
			found, ok = c.operator, true
		}
	}
	return found, ok
}

type operatorKey struct{}

// HandleBearer implements adminapi.SecurityHandler.
func (o *Operators) HandleBearer(ctx context.Context, op adminapi.OperationName, t adminapi.Bearer) (context.Context, error) {
	who, ok := o.find(t.Token)
	switch {
	case !ok && !o.bad.Allow():
		return nil, errTooManyTokens
	case !ok:
		return nil, errNoToken
	case who.ReadOnly && writes[op]:
		return nil, errReadOnly
	}
	return context.WithValue(ctx, operatorKey{}, who), nil
}

func operatorOf(ctx context.Context) Operator {
	who, _ := ctx.Value(operatorKey{}).(Operator)
	return who
}

// writes are the operations that change state.
var writes = map[adminapi.OperationName]bool{
	adminapi.PutServiceOperation:        true,
	adminapi.PutTargetOperation:         true,
	adminapi.PutWorkspaceOperation:      true,
	adminapi.WithdrawServiceOperation:   true,
	adminapi.WithdrawTargetOperation:    true,
	adminapi.WithdrawWorkspaceOperation: true,
	adminapi.LiftQuarantineOperation:    true,
}
