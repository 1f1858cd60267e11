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

const (
	crashCheckTimeout = 500 * time.Millisecond // of the connection attempt after a broken one
	alertTimeout      = time.Second
)

// alerter sends notices of suspects directly to the nodes that hold a service, without waiting
// for gossip.
type alerter interface {
	alert(ctx context.Context, service string, ns []membership.Notice)
}

// suspects adapts quarantine.List to proxy.Suspects, and checks whether a backend server whose
// connection broke has crashed.
type suspects struct {
	list    *quarantine.List
	log     zerolog.Logger
	alerter alerter
	// setNotices receives all of this node's own notices, also when they have not changed.
	setNotices func([]membership.Notice)
	// endpointByKey returns the ID of the endpoint that a key selects for a service, or "".
	endpointByKey func(now time.Time, service string, key uint64, avoid []string) string
	checks        sync.Map // backend server ID to struct{}, while a check runs
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
func (s *suspects) Start(now time.Time, b proxy.Backend, fp quarantine.Fingerprint, request quarantine.Request) (quarantine.Token, error) {
	return s.list.Start(now, fp, b.Instance, request)
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

// checkCrash opens one new connection. A backend server that refuses it no longer has a
// listening process; one that accepts it only lost a connection.
//
// Only a refusal counts as a crash. A dial that times out or finds no free file descriptor
// indicates a full accept queue or a shortage on this node. Treating it as a crash would put
// all requests at a busy backend server under suspicion.
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

// backendReplaced handles a backend server that announces itself anew under the same instance:
// its process may have crashed and restarted before a check. previousState is the state of the
// replaced one; if it was draining, the replacement was planned.
func (s *suspects) backendReplaced(b proxy.Backend, previousState membership.BackendState) {
	evidence := quarantine.Evidence{Broken: true, Restarted: true, Leaving: previousState == membership.BackendDraining}
	if !evidence.IsCrash() {
		return
	}
	if urgent := s.list.Restarted(time.Now(), b.Instance); len(urgent) > 0 {
		s.reportCrash(b, urgent)
	}
}

// reportCrash logs a crash and sends notices of the requests that may have caused it.
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

// publishNotices updates the notices in this node's record. They also change without a crash: a
// suspect request is answered, lifted by an operator at any node, or expires. A stale notice
// would bring back a quarantine at every node that starts after the node that published the
// lift has left.
func (s *suspects) publishNotices(now time.Time) { s.setNotices(s.list.Notices(now)) }

// pruneBackends drops the state of backend servers that left long ago.
func (s *suspects) pruneBackends(now time.Time, list []announce.Backend) {
	s.list.Retain(now, func(instance string) bool {
		return slices.ContainsFunc(list, func(b announce.Backend) bool { return b.Instance == instance })
	})
}

// mergeNotices merges the notices in the records of other nodes.
func (s *suspects) mergeNotices(now time.Time, v *membership.View) {
	for id, r := range v.Records {
		if id != v.Self && len(r.Notices) > 0 {
			s.list.MergeNotices(now, id, r.Notices)
		}
	}
}
