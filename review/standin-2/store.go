package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: rows, transactions and the feed.
type store struct {
	mu      sync.Mutex // guards the rest
	rows    map[rowName]row
	history []row
	version uint64
	changed chan struct{} // closed at each change
	began   time.Time
}

type rowName struct{ table, part, key string }

// row is a row as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has-more"`
	Version uint64 `json:"schema-version"`
	Now     string `json:"now"`
}

func newStore() *store {
	return &store{rows: make(map[rowName]row), changed: make(chan struct{}), began: time.Now()}
}

// write sets a row with an empty part, as the operator does.
func (s *store) write(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

func (s *store) put(r row) {
	if r.Deleted {
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() string { return fmt.Sprintf("%dms", time.Since(s.began).Milliseconds()) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.commit(w, r)
	default:
		http.NotFound(w, r)
	}
}

// maxRows is the most rows of an answer.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	out := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.now()}
	for n, e := range s.rows {
		below := q.Get("target") == "" || n.key < q.Get("target")
		if n.table == q.Get("table") && n.part == q.Get("part") && n.key >= q.Get("from") && below {
			out.Rows = append(out.Rows, e)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	out.More = len(out.Rows) > limit
	out.Rows = out.Rows[:min(limit, len(out.Rows))]
	answerJSON(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		out := rowsAnswer{Rows: []row{}, Version: s.version, Now: s.now()}
		for _, e := range s.history {
			if e.Table == q.Get("table") && e.Version > after {
				out.Rows = append(out.Rows, e)
			}
		}
		ahead, changed := after > s.version, s.changed
		s.mu.Unlock()
		if ahead {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Rows) > 0 || ctx.Err() != nil {
			answerJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

type transaction struct {
	Conditions []row `json:"precondition"`
	Writes     []row `json:"writes"`
	Removes    []row `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in transaction
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, v := range append(slices.Clone(in.Writes), in.Removes...) {
		if v.Table == "op" || v.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	status, out := s.apply(in)
	answerJSON(w, status, out)
}

func (s *store) apply(in transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rowsAnswer{Rows: []row{}, Now: s.now()}
	failed := false
	for _, c := range in.Conditions {
		e, ok := s.rows[c.name()]
		if ok {
			out.Rows = append(out.Rows, e)
		}
		failed = failed || e.Version != c.Version
	}
	out.Version = s.version
	if failed {
		return http.StatusPreconditionFailed, out
	}
	s.version++
	for _, v := range in.Writes {
		s.put(row{Table: v.Table, Part: v.Part, Key: v.Key, Value: v.Value, Version: s.version})
	}
	for _, v := range in.Removes {
		s.put(row{Table: v.Table, Part: v.Part, Key: v.Key, Version: s.version, Deleted: true})
	}
	s.wake()
	return http.StatusOK, rowsAnswer{Rows: []row{}, Version: s.version, Now: s.now()}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has gone
}
