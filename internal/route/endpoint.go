package route

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
)

// Endpoint is one backend server of the service, as the membership view shows it.
type Endpoint struct {
	ID         string // unique in the mesh, stable for the life of the backend server
	VM         string
	DataCentre string
	Region     string
	Addr       string // call address of the node on the same VM
	Slots      int    // as announced; less than 1 counts as 1
	Ready      bool
	Draining   bool
	// Suspect means that the membership has had no recent sign of life from the VM.
	Suspect bool
	// Canary means that the endpoint's version is on trial and gets a small share of the calls.
	Canary bool
	// ReadySince is when the backend server became ready, by its own node's clock. It is zero if
	// unknown.
	ReadySince time.Time
}

func (e *Endpoint) slots() float64 { return float64(max(1, e.Slots)) }

// Load is the load that an endpoint reports with an answer.
type Load struct {
	Busy    int
	Slots   int
	Present bool // false if the answer carried no report
}

// Report describes how an attempt ended.
type Report struct {
	Outcome call.Outcome
	// Failed means that the answer was a server error or was cut short.
	Failed bool
	// Cancelled means that the caller left before the answer came.
	Cancelled bool
	// Refused is the reason of a refusal, or empty.
	Refused call.Reason
	Latency time.Duration
	Load    Load
	// LinkWait is how long large answers wait for the endpoint's link.
	LinkWait time.Duration
	// RateLimited means that the endpoint advertises a limit of RateLimit calls per second.
	RateLimited bool
	RateLimit   float64
	// Leaving means that the endpoint advertises that it accepts no new calls.
	Leaving bool
	// RetryAfter is when the endpoint expects to accept calls again, with a refusal.
	RetryAfter time.Duration
	// Run is how long calls run at the endpoint, as far as its node told.
	Run completion.Run
}

// EndpointStatus is the state of an endpoint in a Picker, for operators.
type EndpointStatus struct {
	Endpoint     Endpoint
	InSubset     bool // this node sends calls to it
	Ejected      bool
	NextTrial    time.Time // when an ejected endpoint gets its next trial call
	SlowStarting bool
	Outstanding  int
	FailureRate  float64 // recent share of failed calls, 0 to 1
	// RelativeRun is the expected run time relative to the mean of the service; zero if unknown.
	RelativeRun float64
}
