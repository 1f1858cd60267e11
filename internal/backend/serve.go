package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/wait"
)

// Headers and query parameters by which a request says how it is to be run.
const (
	// HeaderCrash marks a request that crashes the server.
	HeaderCrash = "X-Crash"
	paramBytes  = "bytes" // length of the filler
	paramTime   = "time"  // service time instead of the drawn one
	paramStream = "pause" // pause between the parts of a long answer
)

const maxBytes = 1 << 30

// Paths that are not requests of the service.
const (
	pathRuns  = "/runs"
	pathProbe = "/probe"
	pathMode  = "/mode"
)

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pathRuns:
		s.runs.serve(w)
	case pathProbe:
		s.probe(w, r)
	case pathMode:
		s.switchMode(w, r)
	default:
		s.request(w, r)
	}
}

// probe costs a slot, as on a real server.
func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	if s.slots.take(r.Context()) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.slots.give()
	_ = wait.For(r.Context(), s.set.ProbeCost.Duration)
	fmt.Fprintln(w, s.State())
}

func (s *Server) switchMode(w http.ResponseWriter, r *http.Request) {
	m := Mode(r.URL.Query().Get("to"))
	switch m {
	case ModeGood, ModeFastFail, ModeSilent, ModeSlow, ModeStale:
		s.SetMode(m)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "to must be good, fast-fail, silent, slow or stale", http.StatusBadRequest)
	}
}

// request runs a request of the service.
func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	s.noteNew()
	s.advertised.arrived(Arrival{time.Now(), r.Header.Get(HeaderRequest)}, w.Header())
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	mode := *s.mode.Load()
	switch mode {
	case ModeFastFail:
		s.setLoad(w, mode)
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case ModeSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if s.State() == Starting {
		s.refuse(w, r, "starting")
		return
	}
	if err := s.slots.take(r.Context()); err != nil {
		if errors.Is(err, errShed) {
			s.refuse(w, r, "no free slot")
			return
		}
		panic(http.ErrAbortHandler) // the caller has gone
	}
	defer s.slots.give()
	s.run(w, r, mode)
}

// refuse says that the request was not run, with the nonce of the attempt.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, why string) {
	if nonce := r.Header.Get(call.HeaderAttempt); nonce != "" {
		w.Header().Set(call.HeaderRefused, nonce)
	}
	s.setLoad(w, *s.mode.Load())
	w.Header().Set("Retry-After", "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

func (s *Server) setLoad(w http.ResponseWriter, m Mode) {
	busy := s.slots.busy()
	if m == ModeStale || m == ModeFastFail {
		busy = 0
	}
	w.Header().Set(call.HeaderLoad, strconv.Itoa(busy)+"/"+strconv.Itoa(s.set.Slots))
}

// run does the work of a request that has its slot.
func (s *Server) run(w http.ResponseWriter, r *http.Request, m Mode) {
	id := identity(r)
	s.runs.add(id)
	if r.Header.Get(HeaderCrash) != "" {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		s.runs.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	if err := wait.For(r.Context(), s.timeOf(r, m)); err != nil {
		s.runs.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	if rand.Float64() < s.set.BadShare {
		s.setLoad(w, m)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	s.answer(w, r, id, m)
}

// identity is the key of a keyed request, which resends share, or its id.
func identity(r *http.Request) string {
	if k := r.Header.Get(call.HeaderKey); k != "" {
		return k
	}
	return r.Header.Get(HeaderRequest)
}

func (s *Server) timeOf(r *http.Request, m Mode) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get(paramTime))
	if err != nil {
		d = serviceTime(s.set.Distribution, s.set.Mean.Duration)
	}
	if m == ModeSlow {
		d *= SlowFactor
	}
	return d
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, m Mode) {
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get(paramBytes))
	n = min(max(n, 0), maxBytes)
	pause, _ := time.ParseDuration(q.Get(paramStream))
	s.setLoad(w, m)
	w.Header().Set(HeaderRequest, id)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(AnswerLength(id, n)))
	err := WriteAnswer(w, id, n, func() error { return s.pauseFor(r.Context(), w, pause) })
	if err != nil {
		s.runs.unread.Add(1)
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) pauseFor(ctx context.Context, w http.ResponseWriter, d time.Duration) error {
	if d == 0 {
		return nil
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return wait.For(ctx, d)
}
