package node

import (
	"context"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/query"
)

// Quarantine implements admin.Reader.
func (r *reader) Quarantine(context.Context) (*adminapi.QuarantineList, error) {
	now := time.Now()
	return &adminapi.QuarantineList{
		At: now.UTC(), SeenBy: r.n.self.ID, Requests: admin.QuarantinedOf(r.n.quarantined(now)),
	}, nil
}

var quarantineStates = map[quarantine.Kind]query.QuarantineState{
	quarantine.KindSuspect:     query.QuarantineSuspect,
	quarantine.KindQuarantined: query.QuarantineRefused,
	quarantine.KindLifted:      query.QuarantineLifted,
}

// quarantined returns all requests that were in flight at a crash.
func (n *Node) quarantined(now time.Time) []query.Quarantine {
	v := n.views.Load()
	var out []query.Quarantine
	for _, e := range n.calls.suspects.list.Entries(now) {
		q := query.Quarantine{
			ID: e.Fingerprint.String(), State: quarantineStates[e.Kind],
			Detail: e.RequestLine, By: e.LiftedBy, Expires: e.Expires,
			Service: strings.Join(servicesOf(v, e), ","),
		}
		for _, c := range e.Crashes {
			q.Crashes = append(q.Crashes, c.ID)
		}
		out = append(out, q)
	}
	return out
}

// servicesOf returns the services of the backend servers that crashed with the
// request, as far as they are still known. A crash is named by VM, backend
// server and moment.
func servicesOf(v *membership.View, e quarantine.Entry) []string {
	var out []string
	seen := make(map[string]bool)
	for _, c := range e.Crashes {
		vm, rest, _ := strings.Cut(c.ID, "/")
		instance, _, _ := strings.Cut(rest, "/")
		r := v.Records[vm]
		if r == nil {
			continue
		}
		for _, b := range r.Backends {
			if b.Instance == instance && !seen[b.Service] {
				seen[b.Service] = true
				out = append(out, b.Service)
			}
		}
	}
	return out
}

// lifter lets quarantined requests run again, by operators' orders.
type lifter struct{ n *Node }

// Lift implements admin.Lifter. The nodes beside backend servers of the service
// are told at once, since they refuse the request too; all others hear of it by
// this node's record.
func (l lifter) Lift(ctx context.Context, fp quarantine.Fingerprint, by string) (string, error) {
	now := time.Now()
	list := l.n.calls.suspects.list
	held, ok := entryOf(list.Entries(now), fp)
	if !ok {
		return "", quarantine.ErrNotListed
	}
	if held.Kind == quarantine.KindLifted {
		return held.LiftedBy, nil
	}
	if err := list.Lift(now, fp, by); err != nil {
		return "", err
	}
	l.n.calls.suspects.publishNotices(now)
	l.alert(ctx, servicesOf(l.n.views.Load(), held), noticeOf(list.Notices(now), fp))
	return by, nil
}

// alert sends the notice to the nodes that hold the services. It goes on when
// the operator's client has gone.
func (l lifter) alert(ctx context.Context, services []string, ns []membership.Notice) {
	if len(ns) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), alertTimeout)
	defer cancel()
	for _, s := range services {
		l.n.control.alert(ctx, s, ns)
	}
}

func entryOf(list []quarantine.Entry, fp quarantine.Fingerprint) (quarantine.Entry, bool) {
	for _, e := range list {
		if e.Fingerprint == fp {
			return e, true
		}
	}
	return quarantine.Entry{}, false
}

func noticeOf(ns []membership.Notice, fp quarantine.Fingerprint) []membership.Notice {
	for _, n := range ns {
		if n.ID == fp.String() {
			return []membership.Notice{n}
		}
	}
	return nil
}
