package proxy

import (
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/retry"
)

// InheritedRetrier is a Retrier that charges inherited retries: calls made by a run that was itself
// a retry.
type InheritedRetrier interface {
	Retrier
	// ChargesInherited reports whether inherited retries are charged.
	ChargesInherited() bool
	// CalledInherited is called instead of Called for such a call. It returns false if the
	// retries of the service leave no room for it.
	CalledInherited(now time.Time, service string) bool
}

// inheritedRetrier returns the Retrier if it charges inherited retries, or else nil.
func (e *Entry) inheritedRetrier() InheritedRetrier {
	if r, ok := e.Retrier.(InheritedRetrier); ok && r.ChargesInherited() {
		return r
	}
	return nil
}

// marksRetried reports whether the next attempt of c carries retry.HeaderRetried.
//
// Where inherited retries are charged, it does so only if a backend server may have got c before or
// c is inherited itself: the nested calls of any other run are no retries, and must not be refused
// as such.
func (e *Entry) marksRetried(c *entryCall) bool {
	if e.inheritedRetrier() != nil {
		return c.inherited || c.reached > 0
	}
	return c.parentRetried || c.attempts > 1
}

// recordCall tells the Retrier of c, as an inherited retry if it is one. It refuses an inherited call for
// which there is no room, and then marks the answer as final, since a retry of the run that made the
// call would be an inherited retry as well.
func (e *Entry) recordCall(w http.ResponseWriter, c *entryCall) *call.Refusal {
	retrier := e.inheritedRetrier()
	if !c.inherited || retrier == nil {
		e.Retrier.Called(c.target.Service)
		return nil
	}
	if retrier.CalledInherited(c.start, c.target.Service) {
		return nil
	}
	w.Header()[retry.HeaderFinal] = finalValue
	return refuse(call.ReasonOverloaded, retryAfterDefault, "no room for calls of a retried run")
}
