package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
)

// services is how many services and classes the first configuration states.
const services = 61

const (
	team         = "measuring"
	operatorName = "load"
)

// errNotAccepted means that a change that should be accepted was not.
var errNotAccepted = errors.New("control: the change was not accepted")

// submitter takes commands; a node is one.
type submitter interface {
	Submit(ctx context.Context, cmd command.Command) command.Result
}

// sent is one accepted version and when its operator sent it.
type sent struct {
	version config.Version
	at      time.Time
}

// operator states targets, one after the other.
type operator struct {
	versions []sent
	serial   int
}

func newOperator() *operator { return new(operator) }

func (o *operator) last() config.Version { return o.versions[len(o.versions)-1].version }

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func pathOf(service string) string { return "/" + service }

// target returns the class of work of service i.
func target(i int, answerWithin int64) config.Object {
	return config.EncodeTarget(config.Target{
		Name: "class-" + serviceName(i), Team: team, Service: serviceName(i),
		Match:      config.Match{PathPrefix: pathOf(serviceName(i))},
		Idempotent: true, AnswerWithinMS: answerWithin, DeadlineMS: 2000,
	})
}

// first states all services and one class of work for each.
func (o *operator) first(ctx context.Context, at submitter) error {
	var set []config.Object
	for i := range services {
		set = append(set, config.EncodeService(config.Service{Name: serviceName(i), Team: team}), target(i, 100))
	}
	return o.accepted(ctx, at, set)
}

// change restates one target.
func (o *operator) change(ctx context.Context, at submitter) error {
	return o.accepted(ctx, at, o.next())
}

// next returns a target that no version has held yet.
func (o *operator) next() []config.Object {
	o.serial++
	return []config.Object{target(o.serial%services, int64(100+o.serial))}
}

func (o *operator) accepted(ctx context.Context, at submitter, set []config.Object) error {
	start := time.Now()
	res := o.submit(ctx, at, set)
	if res.Outcome != command.Accepted {
		return fmt.Errorf("%w: %s, %s %s", errNotAccepted, res.Outcome, res.Reason, res.Detail)
	}
	o.versions = append(o.versions, sent{res.Version, start})
	return nil
}

func (o *operator) submit(ctx context.Context, at submitter, set []config.Object) command.Result {
	o.serial++
	return at.Submit(ctx, command.Command{
		ID: fmt.Sprintf("load-%d", o.serial), Operator: operatorName, Team: team, Set: set,
	})
}
