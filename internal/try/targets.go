package try

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// The two services of the boat yard.
const (
	berths  = "berths"
	surveys = "surveys"
)

// meanWork is how long the stand-in backend servers take for a call.
const meanWork = 5 * time.Millisecond

// startBackends starts two backend servers of each service.
func (t *tour) startBackends(ctx context.Context) error {
	for i, vm := range t.mesh.VMs {
		service := berths
		if i%3 == 2 {
			service = surveys
		}
		set := backend.Defaults()
		set.Service = service
		set.Instance = service + "-1"
		set.Mean.Duration = meanWork
		set.ColdStart.Duration = 0
		if _, err := t.mesh.StartBackend(ctx, vm, set); err != nil {
			return err
		}
	}
	if err := t.mesh.WaitEndpoints(ctx, berths, 4); err != nil {
		return err
	}
	if err := t.mesh.WaitEndpoints(ctx, surveys, 2); err != nil {
		return err
	}
	t.say("4 backend servers of %s and 2 of %s announced themselves", berths, surveys)
	return nil
}

// class is one class of work of the tour, with how to call it.
type class struct {
	name     string
	spec     adminapi.TargetSpec
	method   string
	path     string
	internal bool
	keyed    bool
}

func classes() []class {
	return []class{
		{name: "booking", method: http.MethodPost, path: "/berths/bookings", keyed: true, spec: adminapi.TargetSpec{
			Service: berths, Match: adminapi.Match{PathPrefix: "/berths/bookings"},
			AnswerWithinMs: adminapi.NewOptInt64(200), Priority: adminapi.NewOptInt(8),
		}},
		{name: "berth-lookup", method: http.MethodGet, path: "/berths/hull-17", spec: adminapi.TargetSpec{
			Service: berths, Match: adminapi.Match{PathPrefix: "/berths"},
			Idempotent: adminapi.NewOptBool(true), AnswerWithinMs: adminapi.NewOptInt64(100),
		}},
		{name: "photos", method: http.MethodGet, path: "/surveys/photos/9?bytes=200000", spec: adminapi.TargetSpec{
			Service: surveys, Match: adminapi.Match{PathPrefix: "/surveys/photos"},
			Idempotent: adminapi.NewOptBool(true), Share: adminapi.NewOptFloat64(0.2),
		}},
		{name: "cradles", method: http.MethodGet, path: "/surveys/cradles/3", internal: true, spec: adminapi.TargetSpec{
			Service: surveys, Match: adminapi.Match{PathPrefix: "/surveys/cradles"},
			Idempotent: adminapi.NewOptBool(true), Audience: adminapi.NewOptAudience(adminapi.AudienceInternal),
		}},
	}
}

// stateTargets states the services and a target for each class, and waits until
// they are in force on every node.
func (t *tour) stateTargets(ctx context.Context) error {
	for _, name := range []adminapi.Name{berths, surveys} {
		if _, err := t.admin.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: name}); err != nil {
			return err
		}
	}
	for _, c := range classes() {
		if _, err := t.putTarget(ctx, c.name, c.spec); err != nil {
			return err
		}
	}
	return nil
}

// putTarget states one target and waits until it is in force everywhere.
func (t *tour) putTarget(ctx context.Context, name string, spec adminapi.TargetSpec) (uint64, error) {
	began := time.Now()
	res, err := t.admin.PutTarget(ctx, &spec, adminapi.PutTargetParams{Name: adminapi.Name(name)})
	if err != nil {
		return 0, err
	}
	version, err := acceptedVersion(res)
	if err != nil {
		return 0, fmt.Errorf("target %s: %w", name, err)
	}
	accepted := since(began)
	if err := t.mesh.WaitVersion(ctx, version); err != nil {
		return 0, err
	}
	t.say("target %q accepted as version %d after %s, in force on %d nodes after %s",
		name, version, accepted, len(t.mesh.Nodes()), since(began))
	return version, nil
}

var errNotAccepted = errors.New("the outcome of the command is unknown")

func acceptedVersion(res adminapi.PutTargetRes) (uint64, error) {
	switch r := res.(type) {
	case *adminapi.CreatedHeaders:
		return uint64(r.Response.Version.Number), nil
	case *adminapi.AcceptedHeaders:
		return uint64(r.Response.Version.Number), nil
	}
	return 0, errNotAccepted
}

// refuseMissingService shows that no target can lead to a service that is not
// in the mesh.
func (t *tour) refuseMissingService(ctx context.Context) error {
	spec := adminapi.TargetSpec{Service: "cranes", Match: adminapi.Match{PathPrefix: "/cranes"}}
	_, err := t.admin.PutTarget(ctx, &spec, adminapi.PutTargetParams{Name: "crane-booking"})
	var p *adminapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &p) || p.StatusCode != http.StatusConflict {
		return fmt.Errorf("a target for a missing service was not refused with 409: %v", err)
	}
	for _, item := range p.Response.Problems {
		t.say("a target for a missing service was refused: %s", item.Reason)
	}
	return nil
}
