// Package membership is the gossip membership protocol of the mesh. It
// maintains a node's view of the other nodes and of their backend servers.
package membership

import (
	"fmt"
	"sync/atomic"
	"time"
)

// VMState is the state of a node, from its own record or from the failure
// detector.
type VMState uint8

// States of a node.
const (
	VMAlive VMState = iota + 1
	VMSuspect
	VMLeaving
	VMDead
)

// BackendState is the lifecycle state that a backend server announces.
type BackendState uint8

// States of a backend server.
const (
	BackendStarting BackendState = iota + 1
	BackendReady
	BackendDraining
)

// VM is the identity of a node and its addresses. Everything except
// Incarnation comes from the node's settings.
type VM struct {
	ID          string // unique in the mesh
	Region      string
	DataCentre  string
	ControlAddr string // host:port for messages between nodes
	CallAddr    string // host:port for calls from other nodes
	AdminAddr   string // host:port of the admin API
	// LinkMbps is the rate of the VM's link in Mbit/s; zero if unknown.
	LinkMbps uint32
	// Incarnation increases with every start of a node under the same ID.
	Incarnation uint64
}

// Backend is a backend server as published in its node's record.
type Backend struct {
	Service  string
	Instance string // unique on its VM
	Slots    int
	State    BackendState
	// ReadySince is when the backend server became ready, by its node's
	// clock in Unix milliseconds; slow start is measured from it.
	ReadySince int64
	// Version is the software version; empty if not announced.
	Version string
	// Canary limits the calls to this backend server while its version is tried out.
	Canary bool
}

// Notice is a small item of information that is distributed to the whole mesh
// until it expires, such as a quarantined request.
type Notice struct {
	Kind    string // owned by the package that reads it
	ID      string
	Detail  string
	Expires int64 // Unix milliseconds
}

// Record is the published state of one node. Only the node itself increases
// Sequence; a record with a higher (Incarnation, Sequence) replaces the previous
// record entirely.
type Record struct {
	VM       VM
	Sequence uint64
	State    VMState
	Backends []Backend
	Notices  []Notice
	// AppliedVersion is the configuration version in force at the node, and
	// RefusedVersion the newest version that it could not apply. AppliedHash is
	// zero if only the version is known.
	AppliedVersion uint64
	AppliedHash    [8]byte
	RefusedVersion uint64
	RefusedReason  string
}

// ObservedRecord is a record with this node's own observations of it.
type ObservedRecord struct {
	Record
	// UpdatedAt is when this node last received a newer version of the record.
	UpdatedAt time.Time
}

// View is an immutable snapshot of the membership. Dead nodes are left out;
// nodes that are unreachable because of a partition are included as VMSuspect.
type View struct {
	Self    string
	Records map[string]*ObservedRecord // by VM ID
	// CutOff holds the data centres that are considered partitioned from this
	// node, with the start of the partition. The home data centre in it means
	// that this node is isolated from most of its neighbours.
	CutOff map[string]time.Time
}

// CurrentView publishes the latest View to readers on the call path without a
// lock.
type CurrentView struct {
	p        atomic.Pointer[View]
	onChange atomic.Pointer[func()]
}

// OnChange sets a function that is called after each new view. It must not block.
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

// String returns the name of the state in the announce and admin APIs.
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

// String returns the name of the state.
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
