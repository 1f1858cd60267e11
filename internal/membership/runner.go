package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/wait"
)

// Transport sends a request to the node at addr and returns its answer.
type Transport interface {
	Exchange(ctx context.Context, addr string, m *peerpb.Membership) (*peerpb.Membership, error)
}

const (
	tickInterval = 100 * time.Millisecond
	// heldViewInterval is the minimum time between views that differ only in the versions that
	// nodes hold, which change in many small steps.
	heldViewInterval = time.Second
	// contactWriteInterval is the time between two writes of a contact row.
	contactWriteInterval = 10 * time.Minute
	// contactReadInterval is the mean time between two reads while they can help.
	contactReadInterval = 10 * time.Second
	// contactStartInterval is the mean time between two reads by a node that knows no other one,
	// where the rows are the only way to find the mesh.
	contactStartInterval = 800 * time.Millisecond
	// contactStartJitter spreads the first reads of nodes that start together. The platform
	// takes some time to answer, so the first few nodes write their rows and the others find
	// enough of them to join. Without it, each node finds none, writes its own row and has to
	// read again.
	contactStartJitter = 100 * time.Millisecond
	// contactCheckInterval is the time between two reads by the nodes that write contact rows:
	// nodes that started together may have formed several meshes.
	contactCheckInterval = time.Minute
	// maxExchanges bounds the requests in flight.
	maxExchanges = 32
)

// Runner drives a State with a clock and a transport and publishes its View. All methods are
// safe for concurrent use.
type Runner struct {
	mu        sync.Mutex // guards state and the times; never held across I/O
	state     *State
	published time.Time

	views     *CurrentView
	transport Transport
	contacts  Contacts // may be nil
	log       zerolog.Logger
	wake      chan struct{}
}

// NewRunner returns a Runner for a node that starts now. If contacts is nil, the node joins
// through its seeds only.
func NewRunner(cfg Config, t Transport, contacts Contacts, views *CurrentView, log zerolog.Logger) *Runner {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r := &Runner{
		state:     New(cfg, time.Now(), rnd),
		views:     views,
		transport: t,
		contacts:  contacts,
		log:       log.With().Str("part", "membership").Logger(),
		wake:      make(chan struct{}, 1),
	}
	views.Store(r.state.View(time.Now()))
	return r
}

// Run drives the state until ctx is done.
func (r *Runner) Run(ctx context.Context) error {
	var group errgroup.Group
	var exchanges errgroup.Group
	exchanges.SetLimit(maxExchanges)
	if r.contacts != nil {
		group.Go(func() error { return r.runContacts(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.step(ctx, &exchanges)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-r.wake:
		}
	}
	_ = exchanges.Wait() // exchanges return no errors
	return group.Wait()
}

// step runs what is due and sends the resulting requests.
func (r *Runner) step(ctx context.Context, exchanges *errgroup.Group) {
	r.mu.Lock()
	now := time.Now()
	sends := r.state.Tick(now)
	r.publish(now)
	r.mu.Unlock()
	for _, s := range sends {
		if !exchanges.TryGo(func() error { r.exchange(ctx, s); return nil }) {
			r.mu.Lock()
			r.state.Cancel(s.ID)
			r.mu.Unlock()
		}
	}
}

// publish stores a new view if one is due.
func (r *Runner) publish(now time.Time) {
	stale, records := r.state.Stale()
	if !stale || (!records && now.Sub(r.published) < heldViewInterval) {
		return
	}
	r.published = now
	r.views.Store(r.state.View(now))
}

func (r *Runner) exchange(ctx context.Context, s OutgoingRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	ans, err := r.transport.Exchange(ctx, s.Addr, s.Msg)
	r.update(func(st *State, now time.Time) {
		if err != nil {
			st.HandleFailure(now, s.ID, err)
			return
		}
		st.HandleAnswer(now, s.ID, ans)
	})
	if err != nil {
		r.log.Debug().Err(err).Str("peer", s.To).Stringer("kind", s.Kind).Msg("membership: exchange failed")
	}
}

// update runs f on the state and wakes Run to send the requests that result.
func (r *Runner) update(f func(*State, time.Time)) {
	r.mu.Lock()
	f(r.state, time.Now())
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Request answers a request of the node from.
func (r *Runner) Request(from string, m *peerpb.Membership) (ans *peerpb.Membership) {
	r.update(func(s *State, now time.Time) { ans = s.HandleRequest(now, from, m) })
	return ans
}

// SetBackends replaces the backend servers of this node.
func (r *Runner) SetBackends(list []Backend) (err error) {
	r.update(func(s *State, now time.Time) { err = s.SetBackends(now, list) })
	return err
}

// SetNotices replaces the notices of this node.
func (r *Runner) SetNotices(list []Notice) (err error) {
	r.update(func(s *State, now time.Time) { err = s.SetNotices(now, list) })
	return err
}

// SetConfigStatus sets the configuration version in force at this node.
func (r *Runner) SetConfigStatus(a ConfigStatus) {
	r.update(func(s *State, now time.Time) { s.SetConfigStatus(now, a) })
}

// Leave announces to the mesh that this node leaves. Run has to continue for about two seconds
// to distribute it.
func (r *Runner) Leave() { r.update((*State).Leave) }

// Recall returns what peers remember of the version held before a restart.
func (r *Runner) Recall() (out Recall) {
	r.read(func(s *State) { out = s.Recall() })
	return out
}

// Joined reports whether the node has a full state, or found no other node to join.
func (r *Runner) Joined() (out bool) {
	r.read(func(s *State) { out = s.Joined() })
	return out
}

// Superseded reports whether another process with a later start uses this node's ID, and since
// when that is known.
func (r *Runner) Superseded() (at time.Time, yes bool) {
	r.read(func(s *State) { at, yes = s.Superseded() })
	return at, yes
}

// Stats returns the counters.
func (r *Runner) Stats() (out Stats) {
	r.read(func(s *State) { out = s.Stats() })
	return out
}

func (r *Runner) read(f func(*State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// runContacts reads the platform's contacts while they can help and, on the few nodes that write
// contact rows, writes this node's row.
func (r *Runner) runContacts(ctx context.Context) error {
	var written, read time.Time
	if r.state.cfg.WriteContactEarly {
		_ = wait.For(ctx, rand.N(contactStartJitter))
	}
	for ctx.Err() == nil {
		var needed, writer, early bool
		r.read(func(s *State) {
			needed, writer = s.ShouldReadContacts(), s.ShouldWriteContact()
			// A node that counted as the first because the platform was down too
			// keeps reading: it is of no use until it finds the others.
			early = s.cfg.WriteContactEarly && s.live == 0
			// A node that knows another one can join through it.
			needed = needed && (s.joined || early || !s.cfg.WriteContactEarly)
		})
		due := (writer || early) && time.Since(written) >= contactWriteInterval
		enough := false
		if needed || due || (writer && time.Since(read) >= contactCheckInterval) {
			read = time.Now()
			enough = r.readContacts(ctx, writer)
		}
		if due && !enough && r.writeContact(ctx) {
			written = time.Now()
		}
		pause := contactReadInterval/2 + time.Duration(rand.Int64N(int64(contactReadInterval)))
		if early {
			pause = contactStartInterval/2 + time.Duration(rand.Int64N(int64(contactStartInterval)))
		}
		_ = wait.For(ctx, pause)
	}
	return nil
}

// readContacts reads the platform's contacts. A writer also removes the rows of its data centre
// that are no longer refreshed. The clocks involved may be wrong, this node's or the writer's.
// So the row of a current writer is kept, and a time far in the future counts as old as one far
// in the past. It reports whether other nodes of the data centre wrote enough rows that one more
// is of no use, as when all nodes start with an empty table.
func (r *Runner) readContacts(ctx context.Context, writer bool) (enough bool) {
	ctx, cancel := context.WithTimeout(ctx, contactReadInterval/2)
	defer cancel()
	rows, err := r.contacts.List(ctx)
	if err != nil {
		r.log.Warn().Err(err).Msg("membership: reading contacts failed")
		return false
	}
	list := make([]Contact, 0, len(rows))
	self, others := r.state.cfg.Self, 0
	for _, row := range rows {
		home := row.DataCentre == self.DataCentre
		age := time.Since(row.At).Abs()
		if writer && home && age > 3*contactWriteInterval && !r.isContactWriter(row.ID) {
			r.removeContact(ctx, row.Contact)
			continue
		}
		if home && row.ID != self.ID && age < contactWriteInterval {
			others++
		}
		list = append(list, row.Contact)
	}
	r.update(func(s *State, now time.Time) { s.AddContacts(now, list) })
	return others >= 2*r.state.cfg.Bridges
}

// isContactWriter reports whether a node of the home data centre currently writes its contact
// row; see ShouldWriteContact.
func (r *Runner) isContactWriter(id string) (yes bool) {
	r.read(func(s *State) {
		e := s.entries[id] // among the bridges, nil stands for this node
		yes = e != nil && slices.Contains(s.bridgesOf(s.home), e)
	})
	return yes
}

func (r *Runner) removeContact(ctx context.Context, c Contact) {
	if err := r.contacts.Remove(ctx, c); err != nil {
		r.log.Warn().Err(err).Str("peer", c.ID).Msg("membership: removing an outdated contact failed")
	}
}

func (r *Runner) writeContact(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, contactReadInterval/2)
	defer cancel()
	self := r.state.cfg.Self
	row := ContactRow{
		Contact: Contact{ID: self.ID, DataCentre: self.DataCentre, ControlAddr: self.ControlAddr},
		At:      time.Now(),
	}
	if err := r.contacts.Put(ctx, row); err != nil {
		r.log.Warn().Err(err).Msg("membership: writing the contact failed")
		return false
	}
	return true
}
