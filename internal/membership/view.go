// Package membership keeps what a node knows about the other nodes of the
// mesh and the backend servers beside them.
package membership

import (
	"fmt"
	"sync/atomic"
	"time"
)

// VMState is the state of a node as its own record or its observers give it.
type VMState uint8

// States of a node.
const (
	VMAlive VMState = iota + 1
	VMSuspect
	VMLeaving
	VMDead
)

// BackendState is the state that a backend server announces for itself.
type BackendState uint8

// States of a backend server.
const (
	BackendStarting BackendState = iota + 1
	BackendReady
	BackendDraining
)

// VM is who a node is and where it is reached. All of it comes from the node's
// settings, except Incarnation.
type VM struct {
	ID          string // unique in the mesh
	Region      string
	DataCentre  string
	ControlAddr string // host:port for messages between nodes
	CallAddr    string // host:port for calls from other nodes
	AdminAddr   string // host:port of the admin API
	// LinkMbps is the rate of the VM's link in Mbit/s; zero if it is not known.
	LinkMbps uint32
	// Incarnation is larger for every start of a node under the same ID.
	Incarnation uint64
}

// Backend is one backend server as its node tells of it.
type Backend struct {
	Service  string
	Instance string // unique on its VM
	Slots    int
	State    BackendState
	// ReadySince is when the backend server became ready, by its node's
	// clock in Unix milliseconds; the slow start counts from it.
	ReadySince int64
	// Version is that of its software; empty if it tells none.
	Version string
	// Canary says that it takes a bounded number of calls, to try its version.
	Canary bool
}

// Notice is a short fact that the whole mesh should know and that expires by
// itself, such as a quarantined request.
type Notice struct {
	Kind    string // owned by the package that reads it
	ID      string
	Detail  string
	Expires int64 // Unix milliseconds
}

// Record is what the mesh knows of one node. Only the node itself raises
// Sequence; a higher (Incarnation, Sequence) replaces a lower one whole.
type Record struct {
	VM       VM
	Sequence uint64
	State    VMState
	Backends []Backend
	Notices  []Notice
	// AppliedVersion is the number of the configuration version in force at the
	// node, and RefusedVersion the newest one that it could not put in force. The hash
	// is zero where only the number is known.
	AppliedVersion uint64
	AppliedHash    [8]byte
	RefusedVersion uint64
	RefusedReason  string
}

// ObservedRecord is a record with what this node itself observed of it.
type ObservedRecord struct {
	Record
	// UpdatedAt is when this node last learned anything new about the record.
	UpdatedAt time.Time
}

// View is an immutable picture of the membership. Nodes that are dead are not
// in it; nodes that cannot be reached because this node is cut off are, with
// state VMSuspect.
type View struct {
	Self    string
	Records map[string]*ObservedRecord // by VM ID
	// CutOff names the data centres from which nothing has been heard for so
	// long that the cut is taken to lie between them and this node.
	CutOff map[string]time.Time
}

// CurrentView holds the current View for readers on the path of a call.
type CurrentView struct {
	p        atomic.Pointer[View]
	onChange atomic.Pointer[func()]
}

// OnChange sets what is called after each new view. It must not block.
func (v *CurrentView) OnChange(f func()) { v.onChange.Store(&f) }

// Load returns the current view; it is never nil.
func (v *CurrentView) Load() *View {
	if c := v.p.Load(); c != nil {
		return c
	}
	return &View{}
}

// Store replaces the current view.
func (v *CurrentView) Store(n *View) {
	v.p.Store(n)
	if f := v.onChange.Load(); f != nil {
		(*f)()
	}
}

// String returns the state's name in the announce and admin APIs.
func (s BackendState) String() string {
	switch s {
	case BackendStarting:
		return "starting"
	case BackendReady:
		return "ready"
	case BackendDraining:
		return "draining"
	}
	return fmt.Sprintf("BackendState(%d)", uint8(s))
}

// String returns the state in a word.
func (s VMState) String() string {
	switch s {
	case VMAlive:
		return "alive"
	case VMSuspect:
		return "suspect"
	case VMLeaving:
		return "leaving"
	case VMDead:
		return "dead"
	}
	return fmt.Sprintf("VMState(%d)", uint8(s))
}
