package distribute

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

const platformLatency = 5 * time.Millisecond

func (m *mesh) readPlatform(n *node, a Action) {
	m.reads++
	generation := n.generation
	reply := func(ev Event) {
		m.after(platformLatency, func() {
			if n.up && n.generation == generation {
				m.step(n, ev)
			}
		})
	}
	if m.platformSilent != nil && m.platformSilent(n) {
		m.after(platformTimeout, func() { reply(lostRead(a)) })
		return
	}
	switch a := a.(type) {
	case ReadHead:
		if m.platformDown {
			reply(HeadRead{Err: errLost})
			return
		}
		reply(HeadRead{Version: m.platformHead()})
	case ReadSince:
		if m.platformDown {
			reply(PlatformRead{Err: errLost})
			return
		}
		from := min(int(a.Version.Number), len(m.log))
		reply(PlatformRead{Deltas: m.log[from:]})
	case ReadSnapshot:
		if m.platformDown {
			reply(PlatformRead{Err: errLost})
			return
		}
		reply(PlatformRead{Snapshot: m.head})
	}
}

// lostRead returns the outcome of a read that got no answer.
func lostRead(a Action) Event {
	if _, head := a.(ReadHead); head {
		return HeadRead{Err: errLost}
	}
	return PlatformRead{Err: errLost}
}

func (m *mesh) platformHead() config.Version {
	i := len(m.log) - m.headLag
	if i <= 0 {
		return config.Empty().Version()
	}
	return m.log[i-1].To
}

// offer puts a snapshot in force and checks the invariants: no older version, and none that is not
// in the log.
func (m *mesh) offer(n *node, s *config.Snapshot) {
	v := s.Version()
	if v.Number <= n.offered.Number {
		m.violation = fmt.Sprintf("%s was offered version %d after %d", n.id, v.Number, n.offered.Number)
	}
	if int(v.Number) > len(m.log) || m.log[v.Number-1].To != v {
		m.violation = fmt.Sprintf("%s was offered version %d (%s), which is not in the log", n.id, v.Number, v.Hash.Short())
	}
	n.offered = v
	if n.offerErr != nil {
		if err := n.offerErr(s); err != nil {
			m.step(n, Offered{Version: v, Err: err})
			return
		}
	}
	n.inForceAt[v.Number] = m.now
	if m.randomPush {
		m.pushRandom(n, v)
	}
	m.step(n, Offered{Version: v})
}

// commitChange commits the next version on the platform, accepted by node n.
func (m *mesh) commitChange(n *node) *config.Delta {
	i := len(m.log)
	target := config.Target{
		Name: fmt.Sprintf("class-%03d", i%100), Team: "berths", Service: "booking",
		Match: config.Match{PathPrefix: fmt.Sprintf("/v%d/", i)}, AnswerWithinMS: 200, Share: 0.2,
	}
	next, d, err := m.head.Next([]config.Object{config.EncodeTarget(target)}, nil)
	if err != nil {
		panic(err)
	}
	d.By, d.Team, d.Command, d.AtMS = "operator", "berths", "0192d3a4-5b6c-7d8e-9f00-112233445566", m.now.UnixMilli()
	m.head, m.log = next, append(m.log, d)
	if n != nil && n.up {
		m.step(n, Accepted{d})
	}
	return d
}
