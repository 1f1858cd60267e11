package route

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Endpoint is one backend server of the service, as the membership view shows
// it.
type Endpoint struct {
	ID         string // unique in the mesh and kept while the backend server lives
	VM         string
	DataCentre string
	Region     string
	Addr       string // the address for calls of the node beside it
	Slots      int    // as announced; less than one counts as one
	Ready      bool
	Draining   bool
	// Suspect says that the membership has not heard from the VM lately.
	Suspect bool
	// Canary says that the endpoint takes a few calls only, by which its version is tried.
	Canary bool
	// ReadySince is when the backend server became ready, by the clock of
	// its own node; zero when not known.
	ReadySince time.Time
}

func (e *Endpoint) slots() float64 { return float64(max(1, e.Slots)) }

// Load is what an answer told of the load of the endpoint that gave it.
type Load struct {
	Busy    int
	Slots   int
	Present bool // false when the answer told nothing
}

// Report is how an attempt ended.
type Report struct {
	Outcome call.Outcome
	// Failed says that the answer was a server error or was broken off.
	Failed bool
	// Cancelled says that the caller left before there was an answer.
	Cancelled bool
	// Refused is the reason of a refusal, empty when there was none.
	Refused call.Reason
	Latency time.Duration
	Load    Load
	// LinkWait is how long large answers wait for the endpoint's link.
	LinkWait time.Duration
}

// EndpointStatus is what a Picker holds true of an endpoint, for operators.
type EndpointStatus struct {
	Endpoint     Endpoint
	InSubset     bool // this node sends calls to it
	Ejected      bool
	NextTrial    time.Time // when an ejected endpoint gets its next call
	SlowStarting bool
	Outstanding  int
	FailureRate  float64 // recent share of failed calls, 0 to 1
}
