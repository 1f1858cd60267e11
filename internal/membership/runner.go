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

// Transport carries a request to the node at addr and its answer back.
type Transport interface {
	Exchange(ctx context.Context, addr string, m *peerpb.Membership) (*peerpb.Membership, error)
}

const (
	tickEvery = 100 * time.Millisecond
	// heldEvery bounds how often a view is built for nothing but the versions
	// that nodes hold, which change in many small steps.
	heldEvery = time.Second
	// contactEvery is the time between two writes of a contact row.
	contactEvery = 10 * time.Minute
	// contactRead is the time between two reads while they can help.
	contactRead = 10 * time.Second
	// contactStart is the time between two reads of a node that has not joined,
	// where the rows are the only way to find others.
	contactStart = 800 * time.Millisecond
	// contactSpread is the time over which nodes that start together spread their first
	// look at the rows: some answers of the platform long, so that the first few write theirs
	// and the others find enough to join. At once, each finds none, writes its own, and has to
	// look again.
	contactSpread = 100 * time.Millisecond
	// contactCheck is the time between two reads by the nodes whose duty it is
	// to write one: nodes that started together may have formed several meshes.
	contactCheck = time.Minute
	// maxExchanges bounds the requests under way.
	maxExchanges = 32
)

// Runner drives a State with a clock and a transport, and publishes its View.
// All methods are safe for concurrent use.
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

// NewRunner returns a Runner for a node that starts now. A nil contacts leaves
// first contact to the seeds.
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

// Run drives the state until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	var group errgroup.Group
	var exchanges errgroup.Group
	exchanges.SetLimit(maxExchanges)
	if r.contacts != nil {
		group.Go(func() error { return r.keepContacts(ctx) })
	}
	ticker := time.NewTicker(tickEvery)
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

// step lets the state do what is due.
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

// publish builds a new view when one is due.
func (r *Runner) publish(now time.Time) {
	stale, records := r.state.Stale()
	if !stale || (!records && now.Sub(r.published) < heldEvery) {
		return
	}
	r.published = now
	r.views.Store(r.state.View(now))
}

func (r *Runner) exchange(ctx context.Context, s OutgoingRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	ans, err := r.transport.Exchange(ctx, s.Addr, s.Msg)
	r.do(func(st *State, now time.Time) {
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

// do runs f on the state and lets Run act on what came of it.
func (r *Runner) do(f func(*State, time.Time)) {
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
	r.do(func(s *State, now time.Time) { ans = s.HandleRequest(now, from, m) })
	return ans
}

// SetBackends replaces the backend servers beside this node.
func (r *Runner) SetBackends(list []Backend) (err error) {
	r.do(func(s *State, now time.Time) { err = s.SetBackends(now, list) })
	return err
}

// SetNotices replaces the notices of this node.
func (r *Runner) SetNotices(list []Notice) (err error) {
	r.do(func(s *State, now time.Time) { err = s.SetNotices(now, list) })
	return err
}

// SetConfigStatus tells which version is in force here.
func (r *Runner) SetConfigStatus(a ConfigStatus) {
	r.do(func(s *State, now time.Time) { s.SetConfigStatus(now, a) })
}

// Leave tells the mesh that this node leaves. Run has to go on for about two
// seconds more for the word to get out.
func (r *Runner) Leave() { r.do((*State).Leave) }

// Recall returns what peers remember of the version held before a restart.
func (r *Runner) Recall() (out Recall) {
	r.peek(func(s *State) { out = s.Recall() })
	return out
}

// Joined tells whether the node has a full state, or found nobody to ask.
func (r *Runner) Joined() (out bool) {
	r.peek(func(s *State) { out = s.Joined() })
	return out
}

// Superseded tells since when another process claims this node's ID with a
// later start.
func (r *Runner) Superseded() (at time.Time, yes bool) {
	r.peek(func(s *State) { at, yes = s.Superseded() })
	return at, yes
}

// Stats returns the counters.
func (r *Runner) Stats() (out Stats) {
	r.peek(func(s *State) { out = s.Stats() })
	return out
}

func (r *Runner) peek(f func(*State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// keepContacts reads the platform's contacts while they can help and, on the
// few nodes whose duty it is, writes the own one.
func (r *Runner) keepContacts(ctx context.Context) error {
	var written, read time.Time
	if r.state.cfg.WriteContactEarly {
		_ = wait.For(ctx, rand.N(contactSpread))
	}
	for ctx.Err() == nil {
		var want, duty, early bool
		r.peek(func(s *State) {
			want, duty = s.ShouldReadContacts(), s.ShouldWriteContact()
			// One that took itself to be the first, since the platform was down as
			// well, goes on looking: it serves nobody until it finds the others.
			early = s.cfg.WriteContactEarly && s.live == 0
			// One that knows somebody has whom to ask for the rest.
			want = want && (s.joined || early || !s.cfg.WriteContactEarly)
		})
		due := (duty || early) && time.Since(written) >= contactEvery
		enough := false
		if want || due || (duty && time.Since(read) >= contactCheck) {
			read = time.Now()
			enough = r.readContacts(ctx, duty)
		}
		if due && !enough && r.writeContact(ctx) {
			written = time.Now()
		}
		pause := contactRead/2 + time.Duration(rand.Int64N(int64(contactRead)))
		if early {
			pause = contactStart/2 + time.Duration(rand.Int64N(int64(contactStart)))
		}
		_ = wait.For(ctx, pause)
	}
	return nil
}

// readContacts also removes, on duty, the rows of the own data centre that
// nobody refreshes any more. The clocks that say so may be wrong, this node's or
// the writer's, so the row of a node whose duty it is now stays, and one that
// lies far ahead is as old as one that lies far back. It reports whether other nodes there wrote so many
// rows that one more helps nobody, as when all start with an empty table.
func (r *Runner) readContacts(ctx context.Context, duty bool) (enough bool) {
	ctx, cancel := context.WithTimeout(ctx, contactRead/2)
	defer cancel()
	rows, err := r.contacts.List(ctx)
	if err != nil {
		r.log.Warn().Err(err).Msg("membership: contacts not read")
		return false
	}
	list := make([]Contact, 0, len(rows))
	self, others := r.state.cfg.Self, 0
	for _, row := range rows {
		home := row.DataCentre == self.DataCentre
		age := time.Since(row.At).Abs()
		if duty && home && age > 3*contactEvery && !r.refreshes(row.ID) {
			r.removeContact(ctx, row.Contact)
			continue
		}
		if home && row.ID != self.ID && age < contactEvery {
			others++
		}
		list = append(list, row.Contact)
	}
	r.do(func(s *State, now time.Time) { s.AddContacts(now, list) })
	return others >= 2*r.state.cfg.Bridges
}

// refreshes tells whether the node is one of the own data centre that write
// their rows of contacts; see ShouldWriteContact.
func (r *Runner) refreshes(id string) (yes bool) {
	r.peek(func(s *State) {
		e := s.entries[id] // nil stands for this node among the bridges
		yes = e != nil && slices.Contains(s.bridgesOf(s.home), e)
	})
	return yes
}

func (r *Runner) removeContact(ctx context.Context, c Contact) {
	if err := r.contacts.Remove(ctx, c); err != nil {
		r.log.Warn().Err(err).Str("peer", c.ID).Msg("membership: old contact not removed")
	}
}

func (r *Runner) writeContact(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, contactRead/2)
	defer cancel()
	self := r.state.cfg.Self
	row := ContactRow{
		Contact: Contact{ID: self.ID, DataCentre: self.DataCentre, ControlAddr: self.ControlAddr},
		At:      time.Now(),
	}
	if err := r.contacts.Put(ctx, row); err != nil {
		r.log.Warn().Err(err).Msg("membership: contact not written")
		return false
	}
	return true
}
