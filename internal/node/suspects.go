package node

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// Bounds on looking whether a backend server crashed.
const (
	crashCheckTimeout = 500 * time.Millisecond
	alertTimeout      = time.Second
)

// alerter tells the nodes that hold a service of suspects, without waiting for
// the membership to spread them.
type alerter interface {
	alert(ctx context.Context, service string, ns []membership.Notice)
}

// suspects gives quarantine.List the shape that the proxy asks for, and finds
// out whether a backend server whose connection broke has crashed.
type suspects struct {
	list    *quarantine.List
	log     zerolog.Logger
	alerter alerter
	// setNotices is given this node's own notices, the same ones again included.
	setNotices func([]membership.Notice)
	// endpointByKey returns the endpoint of a service that a key chooses, or "".
	endpointByKey func(now time.Time, service string, key uint64, avoid []string) string
	checks        sync.Map // backend ID to struct{}, while a check is under way
	checksRunning sync.WaitGroup
}

// Blocked implements proxy.Suspects.
func (s *suspects) Blocked(now time.Time, fp quarantine.Fingerprint) *call.Refusal {
	e, blocked := s.list.Blocked(now, fp)
	if !blocked {
		return nil
	}
	return e.NewRefusal(now)
}

// Isolated implements proxy.Suspects.
func (s *suspects) Isolated(now time.Time, fp quarantine.Fingerprint) bool {
	return s.list.Isolated(now, fp)
}

// CrashedAt implements proxy.Suspects.
func (s *suspects) CrashedAt(now time.Time, fp quarantine.Fingerprint) []string {
	return s.list.CrashedAt(now, fp)
}

// Broke implements proxy.Suspects.
func (s *suspects) Broke(now time.Time, fp quarantine.Fingerprint, endpoint string) {
	s.list.Broke(now, fp, endpoint)
}

// Answered implements proxy.Suspects.
func (s *suspects) Answered(now time.Time, fp quarantine.Fingerprint) { s.list.Answered(now, fp) }

// Pinned implements proxy.Suspects.
func (s *suspects) Pinned(now time.Time, b proxy.Backend, fp quarantine.Fingerprint) *call.Refusal {
	return s.list.Pinned(now, fp, b.Instance, func(avoid []string) string {
		return s.endpointByKey(now, b.Service, fp.Key(), avoid)
	})
}

// Start implements proxy.Suspects.
func (s *suspects) Start(now time.Time, b proxy.Backend, fp quarantine.Fingerprint, what quarantine.Request) (quarantine.Token, error) {
	return s.list.Start(now, fp, b.Instance, what)
}

// Done implements proxy.Suspects.
func (s *suspects) Done(now time.Time, b proxy.Backend, tok quarantine.Token, result quarantine.RunResult) {
	s.list.Done(now, tok, result)
	if result != quarantine.Broken {
		return
	}
	if _, checking := s.checks.LoadOrStore(b.Instance, struct{}{}); checking {
		return
	}
	s.checksRunning.Go(func() {
		defer s.checks.Delete(b.Instance)
		s.checkCrash(b)
	})
}

// checkCrash tries one new connection. A backend server that refuses it has no
// process that listens any more; one that takes it merely lost a connection.
//
// Only a refusal counts. A dial that times out or finds no free file tells of a
// full queue of connections or of a want on this node; taking it for a crash
// would make suspects of all that runs at a backend server that is merely busy.
func (s *suspects) checkCrash(b proxy.Backend) {
	c, err := net.DialTimeout("tcp", b.Addr, crashCheckTimeout)
	if err == nil {
		c.Close()
		return
	}
	evidence := quarantine.Evidence{
		Broken:         true,
		ConnectRefused: errors.Is(err, syscall.ECONNREFUSED),
		Leaving:        b.State == membership.BackendDraining,
	}
	if evidence.IsCrash() {
		s.reportCrash(b, s.list.Crashed(time.Now(), b.Instance))
	}
}

// backendReplaced takes in that a backend server announced itself anew, under the same
// instance: its process may have crashed and come back before anybody could
// look. was is the state of the one before: one that drained was replaced on
// plan.
func (s *suspects) backendReplaced(b proxy.Backend, was membership.BackendState) {
	evidence := quarantine.Evidence{Broken: true, Restarted: true, Leaving: was == membership.BackendDraining}
	if !evidence.IsCrash() {
		return
	}
	if urgent := s.list.Restarted(time.Now(), b.Instance); len(urgent) > 0 {
		s.reportCrash(b, urgent)
	}
}

// reportCrash tells the mesh of a crash and of the requests that may have caused it.
func (s *suspects) reportCrash(b proxy.Backend, urgent []membership.Notice) {
	s.log.Warn().Str("service", b.Service).Str("instance", b.Instance).Int("suspects", len(urgent)).
		Msg("quarantine: backend server crashed")
	s.publishNotices(time.Now())
	if len(urgent) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), alertTimeout)
	defer cancel()
	s.alerter.alert(ctx, b.Service, urgent)
}

// publishNotices makes this node's record hold what is true now of the suspects found
// here. That changes without a crash: one is answered, lifted by an operator at
// any node, or expires. A record that went on telling of a quarantine would
// bring it back at every node that starts after the one that told of the lift
// has gone.
func (s *suspects) publishNotices(now time.Time) { s.setNotices(s.list.Notices(now)) }

// pruneBackends drops what is noted of backend servers that left long ago.
func (s *suspects) pruneBackends(now time.Time, list []announce.Backend) {
	s.list.Retain(now, func(instance string) bool {
		return slices.ContainsFunc(list, func(b announce.Backend) bool { return b.Instance == instance })
	})
}

// mergeNotices takes in what other nodes tell in their records.
func (s *suspects) mergeNotices(now time.Time, v *membership.View) {
	for id, r := range v.Records {
		if id != v.Self && len(r.Notices) > 0 {
			s.list.MergeNotices(now, id, r.Notices)
		}
	}
}
