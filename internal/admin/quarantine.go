package admin

import (
	"context"
	"errors"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/quarantine"
)

func (h handler) ListQuarantine(ctx context.Context) (*adminapi.QuarantineList, error) {
	return h.s.reader.Quarantine(ctx)
}

// LiftQuarantine lets any operator who may write lift any request. A request
// that is held back belongs to its callers, not to the team of one class, and
// the one who is awake has to be able to let it go; two more crashes put it
// back. The notice names the operator and the team.
func (h handler) LiftQuarantine(ctx context.Context, p adminapi.LiftQuarantineParams) (*adminapi.Lifted, error) {
	fp, err := quarantine.ParseFingerprint(string(p.Fingerprint))
	if err != nil {
		return nil, &parameterError{"fingerprint", "must be 32 hexadecimal digits"}
	}
	who := operatorOf(ctx)
	by := who.Name + " (" + who.Team + ")"
	if by, err = h.s.lifter.Lift(ctx, fp, by); err != nil {
		if errors.Is(err, quarantine.ErrNotListed) {
			return nil, &NotFoundError{"suspected or quarantined request " + fp.String()}
		}
		return nil, err
	}
	h.s.log.Info().Str("fingerprint", fp.String()).Str("operator", who.Name).Str("team", who.Team).
		Msg("admin: quarantine lifted")
	return &adminapi.Lifted{Fingerprint: fp.String(), By: by}, nil
}
