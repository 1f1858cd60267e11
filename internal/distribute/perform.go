package distribute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// errNotMember means that a peer left the membership before the request was sent.
var errNotMember = errors.New("distribute: the peer is not in the membership")

// perform starts one action. The state allows one read, one pull and a few queries in flight, and a
// semaphore limits pushes, so the number of goroutines is bounded.
func (r *Runner) perform(a Action) {
	switch a := a.(type) {
	case Report:
		r.report(a.Finding)
	case FallbackRead:
		r.report(a.Finding)
	case Offer:
		r.spawn(func(context.Context) { r.offer(a.Snapshot) })
	case Push:
		r.performPush(a)
	default:
		r.spawn(func(ctx context.Context) { r.request(ctx, a) })
	}
}

func (r *Runner) spawn(f func(context.Context)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.inFlight.Go(func() { f(r.ctx) })
}

// request performs an action that waits for an answer.
func (r *Runner) request(ctx context.Context, a Action) {
	switch a := a.(type) {
	case ReadHead:
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		v, err := r.deps.Platform.Head(ctx)
		r.step(HeadRead{Version: v, Err: err})
	case ReadSince:
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		ds, err := r.deps.Platform.Since(ctx, a.Version)
		r.step(PlatformRead{Deltas: ds, Err: err})
	case ReadSnapshot:
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		s, err := r.deps.Platform.Snapshot(ctx, a.Version)
		if err == nil && s.Version() != a.Version {
			err = fmt.Errorf("%w: the platform's snapshot of version %d", ErrBadAnswer, a.Version.Number)
		}
		r.step(PlatformRead{Snapshot: s, Err: err})
	case Pull:
		ans, err := r.pull(ctx, a, false)
		r.step(Pulled{Peer: a.Peer, Answer: ans, Err: err})
	case Query:
		ans, err := r.pull(ctx, Pull{Peer: a.Peer, Version: a.Version, Held: a.Version}, true)
		r.step(Queried{Peer: a.Peer, Answer: ans, Err: err})
	}
}

func (r *Runner) report(f Finding) {
	r.deps.Log.Warn().Str("kind", f.Kind()).Msg(f.Error())
	if r.deps.OnFinding != nil {
		r.deps.OnFinding(f)
	}
}

func (r *Runner) offer(s *config.Snapshot) {
	inForce, err := r.deps.Store.Offer(s)
	if err != nil {
		r.deps.Log.Error().Uint64("version", s.Version().Number).Err(err).
			Msg("distribute: cannot put the version in force, keeping the running one")
	}
	if err == nil && inForce {
		r.recordInForce(s.Version())
	}
	r.step(Offered{Version: s.Version(), Err: err})
}

// recordInForce records when a version came into force.
func (r *Runner) recordInForce(v config.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Timing{Version: v, InForce: time.Now()}
	for _, d := range r.state.chain.deltas {
		if d.To == v {
			t.Accepted = time.UnixMilli(d.AtMS)
		}
	}
	r.timeline = append(r.timeline, t)
	if len(r.timeline) > maxTimeline {
		r.timeline = r.timeline[1:]
	}
}

// performPush pushes a version to each peer.
func (r *Runner) performPush(a Push) {
	packed, err := Pack(a.Deltas, nil)
	if err != nil {
		r.deps.Log.Error().Err(err).Msg("distribute: cannot encode the changes, pushing the version alone")
	}
	for _, p := range a.Peers {
		r.spawn(func(ctx context.Context) {
			if r.pushes.Acquire(ctx, 1) != nil {
				return
			}
			defer r.pushes.Release(1)
			r.step(PushDone{Peer: p, Version: a.Version, Err: r.push(ctx, p, packed)})
		})
	}
}

func (r *Runner) push(ctx context.Context, peer string, packed *peerpb.Packed) error {
	addr, err := r.addr(peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	return r.deps.Client.Push(ctx, addr, packed)
}

func (r *Runner) addr(peer string) (string, error) {
	if rec := r.deps.Views.Load().Records[peer]; rec != nil {
		return rec.VM.ControlAddr, nil
	}
	return "", errNotMember
}

func (r *Runner) pull(ctx context.Context, p Pull, headOnly bool) (Answer, error) {
	addr, err := r.addr(p.Peer)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	resp, err := r.deps.Client.Pull(ctx, p.Peer, addr, pullToProto(p, headOnly))
	if err != nil {
		return Answer{}, err
	}
	return answerFromProto(resp)
}

func pullToProto(p Pull, headOnly bool) *peerpb.PullRequest {
	q := &peerpb.PullRequest{Version: p.Version.Number, Hash: p.Version.Hash[:], HeadOnly: headOnly}
	if p.Held != p.Version {
		q.Held, q.HeldHash = p.Held.Number, p.Held.Hash[:]
	}
	return q
}

func answerFromProto(m *peerpb.PullResponse) (Answer, error) {
	if m.RetryAfterMs > 0 {
		return Answer{}, &BusyError{RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond}
	}
	v, err := versionFromProto(m.Version, m.Hash)
	if err != nil {
		return Answer{}, err
	}
	a := Answer{Version: v, YouHeld: m.YouHeld, Ready: m.Ready, OtherHistory: m.OtherHistory, KnowsHeld: m.KnowsHeld}
	a.Deltas, a.Snapshot, err = Unpack(m.Changes)
	return a, err
}

// ServePull answers a peer's pull. The caller has authenticated the peer that the request names.
func (r *Runner) ServePull(req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	v, err := versionFromProto(req.Version, req.Hash)
	if err != nil {
		return nil, err
	}
	held := v
	if len(req.HeldHash) > 0 {
		if held, err = versionFromProto(req.Held, req.HeldHash); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	a := r.state.Serve(r.deps.Views.Load(), req.From, v, req.HeadOnly)
	a.KnowsHeld = r.state.InHistory(held)
	r.mu.Unlock()
	packed, err := r.pack(a)
	if err != nil {
		return nil, err
	}
	if packed != nil && !r.pullLimiter.AllowN(time.Now(), min(len(packed.Data), servedBurst)) {
		return &peerpb.PullResponse{RetryAfterMs: uint32(retryAfter.Milliseconds())}, nil
	}
	return &peerpb.PullResponse{
		Version: a.Version.Number, Hash: a.Version.Hash[:], Changes: packed,
		YouHeld: a.YouHeld, Ready: a.Ready, OtherHistory: a.OtherHistory,
		KnowsHeld: a.KnowsHeld,
	}, nil
}

// pack encodes an answer's changes. A snapshot is encoded once per version, since many starting
// nodes request the same one.
func (r *Runner) pack(a Answer) (*peerpb.Packed, error) {
	if a.Snapshot == nil {
		return Pack(a.Deltas, nil)
	}
	if p := r.packed.Load(); p != nil && p.version == a.Version {
		return p.packed, nil
	}
	p, err := Pack(nil, a.Snapshot)
	if err != nil {
		return nil, err
	}
	r.packed.Store(&packedSnapshot{version: a.Version, packed: p})
	return p, nil
}
