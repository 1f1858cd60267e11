package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
)

// runs counts how often each request was run.
type runs struct {
	mu        sync.Mutex
	byID      map[string]int
	cut       atomic.Int64 // the request's body came incomplete
	cancelled atomic.Int64 // the caller gave up
	unread    atomic.Int64 // the answer was not taken
}

// maxRuns bounds the identities that are remembered.
const maxRuns = 4 << 20

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
	}
	if len(r.byID) < maxRuns {
		r.byID[id]++
	}
}

// Runs is what GET /runs answers.
type Runs struct {
	Runs      int            `json:"runs"`
	Requests  int            `json:"requests"`
	Doubled   map[string]int `json:"doubled"` // requests run more than once
	Cut       int64          `json:"cut"`
	Cancelled int64          `json:"cancelled"`
	Unread    int64          `json:"unread"`
}

// Runs returns the counts so far.
func (s *Server) Runs() Runs { return s.runs.sum() }

// RunsByID returns how often each request was run.
func (s *Server) RunsByID() map[string]int {
	s.runs.mu.Lock()
	defer s.runs.mu.Unlock()
	out := make(map[string]int, len(s.runs.byID))
	for id, n := range s.runs.byID {
		out[id] = n
	}
	return out
}

func (r *runs) sum() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Runs{Requests: len(r.byID), Doubled: make(map[string]int),
		Cut: r.cut.Load(), Cancelled: r.cancelled.Load(), Unread: r.unread.Load()}
	for id, n := range r.byID {
		out.Runs += n
		if n > 1 {
			out.Doubled[id] = n
		}
	}
	return out
}

func (r *runs) serve(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the reader has gone.
	_ = json.NewEncoder(w).Encode(r.sum())
}
