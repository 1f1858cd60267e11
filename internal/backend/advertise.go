package backend

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// advertised is what the server says of itself in each answer.
type advertised struct {
	mu       sync.Mutex // guards the fields below
	limited  bool
	rate     float64 // requests a second; meaningful if limited
	leaving  bool
	slowdown int       // percent; zero if not stated
	arrivals []Arrival // since the server first advertised anything
}

// Arrival is a request that arrived.
type Arrival struct {
	At      time.Time
	Request string // its HeaderRequest
}

// SetRateLimit makes each answer from now on advertise a limit in requests per second.
func (s *Server) SetRateLimit(perSecond float64) {
	s.advertised.mu.Lock()
	defer s.advertised.mu.Unlock()
	s.advertised.limited, s.advertised.rate = true, perSecond
}

// ClearRateLimit makes answers advertise no limit any more.
func (s *Server) ClearRateLimit() {
	s.advertised.mu.Lock()
	defer s.advertised.mu.Unlock()
	s.advertised.limited = false
}

// SetSlowdown makes each answer from now on state how long work takes, in percent of the usual.
func (s *Server) SetSlowdown(percent int) {
	s.advertised.mu.Lock()
	defer s.advertised.mu.Unlock()
	s.advertised.slowdown = percent
}

// LeaveByAnswer makes each answer from now on say that the server leaves. Unlike Drain, it changes
// nothing in what the server announces.
func (s *Server) LeaveByAnswer() {
	s.advertised.mu.Lock()
	defer s.advertised.mu.Unlock()
	s.advertised.leaving = true
}

// Arrivals returns the requests that arrived since the server first advertised a limit or that it
// leaves.
func (s *Server) Arrivals() []Arrival {
	s.advertised.mu.Lock()
	defer s.advertised.mu.Unlock()
	return append([]Arrival(nil), s.advertised.arrivals...)
}

// arrived notes a request and sets the headers of its answer.
func (a *advertised) arrived(now Arrival, h http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limited {
		h.Set(call.HeaderRateLimit, strconv.FormatFloat(a.rate, 'f', -1, 64))
	}
	if a.leaving {
		h.Set(call.HeaderLeaving, "1")
	}
	if a.slowdown > 0 {
		h.Set(call.HeaderSlowdown, strconv.Itoa(a.slowdown))
	}
	if a.limited || a.leaving || len(a.arrivals) > 0 {
		a.arrivals = append(a.arrivals, now)
	}
}
