package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// Heard implements peer.Distributor. It also receives the envelopes of answers.
func (c *control) Heard(e *peerpb.Envelope) {
	c.lastHeardMs.Store(time.Now().UnixMilli())
	c.distributor.Heard(e)
}

// ServePull implements peer.Distributor.
func (c *control) ServePull(q *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return c.distributor.ServePull(q)
}

// peerCommands commits commands that other nodes could not commit.
type peerCommands struct{ c *control }

// Submit implements peer.Submitter. It uses this node's own committer only, so that no command is
// forwarded twice. Only the peer vouches for the operator's name, so the log names the peer.
func (p peerCommands) Submit(ctx context.Context, from string, b []byte) ([]byte, error) {
	var cmd command.Command
	if err := json.Unmarshal(b, &cmd); err != nil {
		return nil, fmt.Errorf("node: decode a peer's command: %w", err)
	}
	res := p.c.commit.Submit(ctx, cmd)
	log := telemetry.Part(p.c.n.log, "command")
	log.Info().Str("peer", from).Str("command", cmd.ID).Str("operator", cmd.Operator).Str("team", cmd.Team).
		Str("reason", string(res.Reason)).Msg("command: " + string(res.Outcome) + " for a peer")
	return json.Marshal(res)
}

// commandFanOut is the least number of peers that a command is sent to, as far as there are that
// many; one peer of each other data centre is always included.
const commandFanOut = 3

// submitPeers forwards commands that this node cannot commit to peers that may.
type submitPeers struct{ c *control }

// Submit implements command.Peers. A data centre usually loses the platform as a whole, so one
// peer of each other data centre gets the command, all in parallel: in sequence, the first one
// that is also cut off would use up the deadline with its own retries. The command's ID keeps it
// from taking effect twice, and the first final answer counts.
func (s submitPeers) Submit(ctx context.Context, cmd command.Command) (command.Result, error) {
	b, err := json.Marshal(cmd)
	if err != nil {
		return command.Result{}, fmt.Errorf("node: encode a command: %w", err)
	}
	addrs := s.addrs()
	answers := make(chan peerAnswer, len(addrs))
	for _, addr := range addrs {
		go func() { answers <- s.submitTo(ctx, addr, b) }()
	}
	out := peerAnswer{err: command.ErrNoPeer}
	for range addrs {
		a := <-answers
		if a.final() {
			return a.res, nil
		}
		// After a lost answer the command may have been committed, so another peer's
		// refusal must not replace it.
		if !errors.Is(out.err, errAnswerLost) {
			out = a
		}
	}
	return out.res, out.err
}

// peerAnswer is one peer's answer to a command.
type peerAnswer struct {
	res command.Result
	err error
}

// final reports whether the answer holds for all peers.
func (a peerAnswer) final() bool {
	return a.err == nil && (a.res.Outcome == command.Accepted ||
		a.res.Outcome == command.Refused && !a.res.Reason.Retryable())
}

func (s submitPeers) submitTo(ctx context.Context, addr string, cmd []byte) (out peerAnswer) {
	b, err := s.c.peers.Submit(ctx, addr, cmd)
	if err == nil {
		err = json.Unmarshal(b, &out.res)
	}
	if err != nil || out.res.Outcome == command.Unknown {
		return peerAnswer{err: errAnswerLost}
	}
	return out
}

var errAnswerLost = errors.New("node: a peer's answer was lost")

// addrs returns the control addresses of the peers to use, one in each other data centre first.
func (s submitPeers) addrs() []string {
	v := s.c.n.views.Load()
	var remote, local []string
	seen := make(map[string]bool)
	ids := make([]string, 0, len(v.Records))
	for id := range v.Records {
		ids = append(ids, id)
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		r := v.Records[id]
		switch {
		case id == v.Self || r.State != membership.VMAlive:
		case r.VM.DataCentre != s.c.n.self.DataCentre && !seen[r.VM.DataCentre]:
			seen[r.VM.DataCentre] = true
			remote = append(remote, r.VM.ControlAddr)
		default:
			local = append(local, r.VM.ControlAddr)
		}
	}
	all := append(remote, local...)
	return all[:min(len(all), max(commandFanOut, len(remote)))]
}

// maxConcurrentAlerts bounds the alerts sent in parallel.
const maxConcurrentAlerts = 16

// alert sends notices directly to the nodes that hold a service, so that the next endpoint has
// them before it runs the request. Other entry nodes get them by the membership.
func (c *control) alert(ctx context.Context, service string, ns []membership.Notice) {
	msgs := make([]*peerpb.Notice, len(ns))
	for i, n := range ns {
		msgs[i] = &peerpb.Notice{Kind: n.Kind, Id: n.ID, Detail: n.Detail, ExpiresMs: n.Expires}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentAlerts)
	for _, addr := range c.holders(service) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := c.peers.Alert(ctx, addr, msgs); err != nil {
				c.n.log.Warn().Err(err).Str("peer", addr).Msg("quarantine: alert not delivered")
			}
		})
	}
	wg.Wait()
}

// holders returns the control addresses of the other nodes that hold a service.
func (c *control) holders(service string) []string {
	v := c.n.views.Load()
	var out []string
	for id, r := range v.Records {
		if id != v.Self && holds(r, service) {
			out = append(out, r.VM.ControlAddr)
		}
	}
	return out
}

func holds(r *membership.ObservedRecord, service string) bool {
	for _, b := range r.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// alerts receives other nodes' alerts.
type alerts struct{ n *Node }

// Alert implements peer.Alerts. It drops notices that a membership record could not hold either:
// notices are kept until they expire, and a malicious node could otherwise use up the memory of
// the control plane.
func (a alerts) Alert(from string, ns []*peerpb.Notice) {
	longest := membership.DefaultLimits().StringBytes
	out := make([]membership.Notice, 0, len(ns))
	for _, n := range ns {
		if max(len(n.Kind), len(n.Id), len(n.Detail)) <= longest {
			out = append(out, membership.Notice{Kind: n.Kind, ID: n.Id, Detail: n.Detail, Expires: n.ExpiresMs})
		}
	}
	a.n.calls.suspects.list.MergeNotices(time.Now(), from, out)
}
