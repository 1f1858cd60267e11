package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// broken counts the findings that break a rule.
	broken int
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, start: time.Now()}, err
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule is broken.
func (r *record) breaks(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

func (r *record) close() { r.file.Close() }
