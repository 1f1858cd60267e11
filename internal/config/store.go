package config

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/defect"
)

// InForce is a snapshot together with what it was compiled into. Readers on
// the path of a call load it once and use it for the whole call, so no call
// ever sees parts of two versions.
type InForce[P any] struct {
	Snapshot *Snapshot
	Program  P
}

// Store holds the version that is in force, and moves it forwards only.
//
// It guards against two failures. A late, doubled or crossed update would take
// the proxy back to an older version: Offer ignores any snapshot that is not
// newer than the one held. A version that cannot be compiled would leave the
// proxy half changed: Offer compiles the whole of it first and swaps one
// pointer after that, or keeps the running version and remembers why.
type Store[P any] struct {
	current atomic.Pointer[InForce[P]]
	refused atomic.Pointer[Refused]
	foreign atomic.Pointer[Refused]
	compile func(*Snapshot) (P, error)
	mu      sync.Mutex // serialises writers
}

// Refused tells of the newest version that could not be put in force.
type Refused struct {
	Version Version
	Err     error
}

// NewStore returns a store that runs the empty snapshot.
func NewStore[P any](compile func(*Snapshot) (P, error)) (*Store[P], error) {
	first := Empty()
	p, err := compile(first)
	if err != nil {
		return nil, err
	}
	s := &Store[P]{compile: compile}
	s.current.Store(&InForce[P]{Snapshot: first, Program: p})
	return s, nil
}

// Load returns what is in force.
func (s *Store[P]) Load() *InForce[P] { return s.current.Load() }

// Refused returns the newest version that could not be put in force and is
// newer than the running one, or nil.
func (s *Store[P]) Refused() *Refused {
	r := s.refused.Load()
	if r == nil || !r.Version.Newer(s.Load().Snapshot.Version()) {
		return nil
	}
	return r
}

// OtherHistory returns the last version offered that belongs to another
// history than the running one, or nil. It stays until the process ends, since
// only an operator can say which history is right.
func (s *Store[P]) OtherHistory() *Refused { return s.foreign.Load() }

// Offer puts n in force if it is newer than the running version and compiles.
// It reports whether n is now the running version.
//
// Offer returns ErrOtherHistory where n alone tells that it does not descend
// from the running version: the same number with another hash, or the next
// number with another parent. Over a larger gap only the deltas between the two
// can tell; Delta.Apply checks each of them.
func (s *Store[P]) Offer(n *Snapshot) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.Load().Snapshot.Version()
	if otherHistory(running, n) {
		s.foreign.Store(&Refused{Version: n.Version(), Err: ErrOtherHistory})
		return false, ErrOtherHistory
	}
	if !n.Version().Newer(running) {
		return false, nil
	}
	p, err := s.compileWhole(n)
	if err != nil {
		s.refuse(&Refused{Version: n.Version(), Err: err})
		return false, err
	}
	s.current.Store(&InForce[P]{Snapshot: n, Program: p})
	return true, nil
}

// refuse remembers the newest refused version. An older one, offered late,
// would hide it from the handover. The caller holds mu.
func (s *Store[P]) refuse(r *Refused) {
	if last := s.refused.Load(); last == nil || !last.Version.Newer(r.Version) {
		s.refused.Store(r)
	}
}

func otherHistory(running Version, n *Snapshot) bool {
	v := n.Version()
	switch v.Number {
	case running.Number:
		return v.Hash != running.Hash
	case running.Number + 1:
		// A version that was accepted elsewhere names no parent.
		return n.Parent() != running.Hash && n.Parent() != Hash{}
	}
	return false
}

// compileWhole checks and compiles n. A version that makes compile panic would
// otherwise end every node of the mesh within seconds of its acceptance, and
// each again on its restart; it is refused like any other that can't compile.
func (s *Store[P]) compileWhole(n *Snapshot) (p P, err error) {
	var none P
	defer func() {
		if r := recover(); r != nil {
			p, err = none, fmt.Errorf("config: compiling %s panicked: %v", n.Version(), r)
		}
	}()
	if err := n.DecodeError(); err != nil {
		return none, err
	}
	if defect.On(defect.RefuseUnusual) {
		if err := n.Check(); err != nil {
			return none, err
		}
	}
	return s.compile(n)
}
