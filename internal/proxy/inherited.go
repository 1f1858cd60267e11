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
	// CalledInherited is called instead of Called for such a call. It returns false if the
	// retries of the service leave no room for it.
	CalledInherited(now time.Time, service string) bool
}

// recordCall tells the Retrier of c, as an inherited retry if it is one. It refuses an inherited call for
// which there is no room, and then marks the answer as final, since a retry of the run that made the
// call would be an inherited retry as well.
func (e *Entry) recordCall(w http.ResponseWriter, c *entryCall, inherited bool) *call.Refusal {
	retrier, ok := e.Retrier.(InheritedRetrier)
	if !inherited || !ok {
		e.Retrier.Called(c.target.Service)
		return nil
	}
	if retrier.CalledInherited(c.start, c.target.Service) {
		return nil
	}
	w.Header()[retry.HeaderFinal] = finalValue
	return refuse(call.ReasonOverloaded, retryAfterDefault, "no room for calls of a retried run")
}
