package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps rows only: the nodes of these cases
// store no objects.
type store struct {
	started time.Time

	mu      sync.Mutex // guards the fields below
	rows    map[rowName]storedRow
	history []storedRow // oldest first
	version uint64
	changed chan struct{} // closed at each change
	era     int           // of the Store-Era header
	away    bool          // connections break
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	rowName
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema-version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsBody struct {
	Rows    []storedRow `json:"rows"`
	More    bool        `json:"has-more"`
	Version uint64      `json:"schema-version"`
	Now     string      `json:"now"`
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowName]storedRow), changed: make(chan struct{}), era: 1}
}

// write writes a row as the operator does, and returns when it is acknowledged.
func (s *store) write(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(storedRow{rowName{table, "", key}, value, s.version, false})
	s.notify()
}

func (s *store) put(r storedRow) {
	if r.Deleted {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() string { return fmt.Sprintf("%dms", time.Since(s.started).Milliseconds()) }

// newest returns the newest version.
func (s *store) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// leave breaks all connections until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// isAway reports whether the store is away.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// restore brings the store back from the copy that it was at a version. What the operator wrote since
// is written again.
func (s *store) restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := make(map[rowName]storedRow)
	for n, row := range s.rows {
		if n.Table == operatorTable && row.Version > version {
			lost[n] = row
		}
	}
	kept := s.history
	s.rows, s.history, s.version = make(map[rowName]storedRow), nil, version
	for _, row := range kept {
		if row.Version <= version {
			s.put(row)
		}
	}
	for _, row := range lost {
		s.version++
		s.put(storedRow{row.rowName, row.Value, s.version, false})
	}
	s.away, s.era = false, s.era+1
	s.notify()
}

const operatorTable = "op"

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
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

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	out := rowsBody{Rows: []storedRow{}, Version: s.version, Now: s.now()}
	for n, row := range s.rows {
		if n.Table == q.Get("table") && n.Part == q.Get("part") && n.Key >= q.Get("from") &&
			(q.Get("target") == "" || n.Key < q.Get("target")) {
			out.Rows = append(out.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	out.More = len(out.Rows) > limit
	out.Rows = out.Rows[:min(limit, len(out.Rows))]
	writeJSON(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		out, changed, away, unknown := s.since(q.Get("table"), after), s.changed, s.away, after > s.version
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case unknown:
			http.Error(w, "no such version", http.StatusGone)
			return
		case len(out.Rows) > 0 || !waiting:
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout.C:
			waiting = false
		case <-changed:
		}
	}
}

// since returns the changes of a table after a version. The caller holds s.mu.
func (s *store) since(table string, after uint64) rowsBody {
	out := rowsBody{Rows: []storedRow{}, Version: s.version, Now: s.now()}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			out.Rows = append(out.Rows, row)
		}
	}
	return out
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []storedRow `json:"precondition"`
		Writes     []storedRow `json:"writes"`
		Removes    []storedRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rowsBody{Rows: []storedRow{}, Now: s.now()}
	failed := false
	for _, c := range in.Conditions {
		row, ok := s.rows[c.rowName]
		if ok {
			out.Rows = append(out.Rows, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		out.Version = s.version
		writeJSON(w, http.StatusPreconditionFailed, out)
		return
	}
	s.version++
	for _, row := range in.Writes {
		s.put(storedRow{row.rowName, row.Value, s.version, false})
	}
	for _, row := range in.Removes {
		s.put(storedRow{row.rowName, nil, s.version, true})
	}
	s.notify()
	writeJSON(w, http.StatusOK, rowsBody{Rows: []storedRow{}, Version: s.version, Now: s.now()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the node has gone
}

// keys returns the keys of a table that begin with a prefix, in order.
func (s *store) keys(table, prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for n := range s.rows {
		if n.Table == table && strings.HasPrefix(n.Key, prefix) {
			out = append(out, n.Key)
		}
	}
	sort.Strings(out)
	return out
}
