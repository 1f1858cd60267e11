package proxy

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/retry"
)

// Only this file decides that a call was not run. A caller relies on that: it
// sends a booking again. If the decision were ever wrong, the booking would run
// twice. So a *call.Refusal is created here only, in one of four ways:
//
//   - refuse: this node refused the call and never forwarded it;
//   - refusalIfUnsent: the connection of the attempt provably carried no
//     byte, and is barred from further writes;
//   - refusedByBackend: the backend server reported it with this attempt's nonce;
//   - refusedByNode: the destination node reported it, in one of the ways above.
//
// RejectUnread answers requests that were not handed to an Entry or a Destination at all.
//
// The interfaces of policy.go may return refusals of their own; they are called
// before the call is forwarded.

// refuse returns the refusal of a call that this node has not forwarded.
func refuse(reason call.Reason, retryAfter time.Duration, detail string) *call.Refusal {
	return &call.Refusal{Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// refusalIfUnsent returns a refusal if no byte of the attempt was or will be written, and nil
// otherwise.
func (a *attempt) refusalIfUnsent() *call.Refusal {
	if !a.blockWrites() {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonUnreachable, RetryAfter: retryAfterUnreachable}
}

// refusedByBackend returns a refusal if the backend server repeats the nonce of this attempt. A
// header copied from the answer to a deeper call carries that call's nonce, and is ignored.
func refusedByBackend(h http.Header, nonce string) *call.Refusal {
	if nonce == "" || first(h, call.HeaderRefused) != nonce {
		return nil
	}
	r := &call.Refusal{Reason: call.ReasonBackend, RetryAfter: parseRetryAfter(h)}
	if first(h, call.HeaderNotRun) != "" || first(h, retry.HeaderFinal) != "" {
		// The backend server refused because a call of its own was refused,
		// which was already retried one level down.
		r.Detail = detailDeep
	}
	return r
}

// refusedByNode returns the refusal reported by another node, or nil.
func refusedByNode(h http.Header) *call.Refusal {
	reason := first(h, call.HeaderNotRun)
	if reason == "" {
		return nil
	}
	r := &call.Refusal{Reason: call.Reason(reason), RetryAfter: parseRetryAfterMS(h), Detail: first(h, headerDetail)}
	if first(h, headerDeep) != "" {
		r.Detail = detailDeep
	}
	return r
}

const (
	// headerComeBack is a header between nodes: in how many milliseconds the refusing node expects
	// to have room. Retry-After has whole seconds, in which a queue drains several times over.
	headerComeBack = "Marlpass-Come-Back"
	// headerDetail is a header between nodes with the detail of a refusal for the logs.
	headerDetail = "Marlpass-Detail"
)

// parseRetryAfterMS returns when to retry. Nodes of an earlier version send Retry-After only.
func parseRetryAfterMS(h http.Header) time.Duration {
	value := first(h, headerComeBack)
	if value == "" {
		return parseRetryAfter(h)
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxRetryAfterSeconds*1000 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// headerDeep marks, between nodes, a refusal that came from a deeper call.
const headerDeep = "Marlpass-Deep"

const detailDeep = "a call further down was refused"

const (
	retryAfterUnreachable = time.Second
	retryAfterDefault     = time.Second
	// storeDownJitter spreads the retries of callers whose claims failed together.
	storeDownJitter = 4 * time.Second
)

// problem is the body of a refusal, as application/problem+json.
type problem struct {
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Reason call.Reason `json:"reason,omitempty"`
	Detail string      `json:"detail,omitempty"`
	NotRun bool        `json:"not_run"`
}

// writeNodeRefusal answers another node that the call was not run. The answer has no body and no
// text for people: under overload several nodes may refuse the same call, and with a problem
// document each refusal took 326 bytes.
func writeNodeRefusal(w http.ResponseWriter, r *call.Refusal) {
	h := w.Header()
	h[call.HeaderNotRun] = []string{string(r.Reason)}
	h["Date"] = nil
	if r.RetryAfter > 0 {
		h[headerComeBack] = []string{strconv.FormatInt(r.RetryAfter.Milliseconds(), 10)}
	}
	switch r.Detail {
	case "":
	case detailDeep:
		h[headerDeep] = []string{"1"}
	default:
		h[headerDetail] = []string{r.Detail}
	}
	status, _ := ownDialect{}.RefusalStatus(r)
	w.WriteHeader(status)
}

// writeCallerRefusal answers a caller that the call was not run, with the status and Retry-After of
// dialect d.
func writeCallerRefusal(w http.ResponseWriter, r *call.Refusal, d Dialect) {
	h := w.Header()
	h.Set(call.HeaderNotRun, string(r.Reason))
	if r.Detail == detailDeep {
		h.Set(headerDeep, "1")
	}
	status, after := d.RefusalStatus(r)
	if after != "" {
		h.Set("Retry-After", after)
	}
	writeProblem(w, problem{
		Title: "the call was not run", Status: status,
		Reason: r.Reason, Detail: r.Detail, NotRun: true,
	})
}

// refuseNoRoom returns the refusal of a request that was not read whole, or not handled, for want of memory. Room
// is made as soon as other requests end.
func refuseNoRoom() *call.Refusal {
	return refuse(call.ReasonOverloaded, minRoomRetryAfter+rand.N(minRoomRetryAfter), "no memory for the request")
}

// minRoomRetryAfter is the least delay after which a caller returns for whose request there was no memory.
const minRoomRetryAfter = 500 * time.Millisecond

// RejectUnread returns the handler that answers callers' requests for which there is no memory.
func (e *Entry) RejectUnread() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r := refuseNoRoom()
		e.Meters.RefusedUnmatched(r.Reason)
		writeCallerRefusal(w, r, e.Dialect)
	})
}

// RejectUnread returns the handler that answers other nodes' requests for which there is no memory.
func (d *Destination) RejectUnread() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeNodeRefusal(w, refuseNoRoom()) })
}

// headerUnknown marks, between nodes, a call that may have run and has no answer. Its value is an
// unknownKind.
const headerUnknown = "Marlpass-Unknown"

// unknownKind is the reason why a call that may have run has no answer.
type unknownKind string

const (
	unknownLost         unknownKind = "lost"
	unknownTimeout      unknownKind = "waited"
	unknownKeyOutcome   unknownKind = "key"
	unknownNotStored    unknownKind = "not-kept"
	unknownStoreDown    unknownKind = "store-down"
	unknownBodyTooLarge unknownKind = "too-large"
)

// isEarlierSending reports whether the kind concerns an earlier sending of the key.
func isEarlierSending(kind unknownKind) bool {
	return kind == unknownKeyOutcome || kind == unknownNotStored || kind == unknownStoreDown
}

// unknownError is the report of another node that a call may have run.
type unknownError struct{ kind unknownKind }

func (e *unknownError) Error() string {
	return "proxy: the destination has no answer: " + string(e.kind)
}

func unknownKindOf(err error) unknownKind {
	var u *unknownError
	switch {
	case errors.As(err, &u):
		return u.kind
	case errors.Is(err, ErrOutcomeUnknown):
		return unknownKeyOutcome
	case errors.Is(err, errAnswerNotStored):
		return unknownNotStored
	case errors.Is(err, errStoreDown):
		return unknownStoreDown
	case errors.Is(err, errAnswerTimeout):
		return unknownTimeout
	case errors.Is(err, errBodyTooLong):
		return unknownBodyTooLarge
	}
	return unknownLost
}

// writeUnknown answers that the call may have run.
func writeUnknown(w http.ResponseWriter, err error) {
	p := problem{
		Title: "the call may have run", Status: http.StatusBadGateway,
		Detail: "the connection broke before an answer came",
	}
	if defect.On(defect.RefuseUnknown) {
		p.Status = http.StatusServiceUnavailable
	}
	switch unknownKindOf(err) {
	case unknownTimeout:
		p.Status, p.Detail = http.StatusGatewayTimeout, "no answer came within the deadline"
	case unknownBodyTooLarge:
		p.Status, p.Detail = http.StatusRequestEntityTooLarge, "the body grew longer than callers may send"
	case unknownKeyOutcome:
		p.Status, p.Detail = http.StatusConflict, "an earlier call with this key may have run, and its answer is not known"
	case unknownNotStored:
		p.Status, p.Detail = http.StatusConflict, "an earlier call with this key was answered, and its answer was too large to keep"
		p.Title = "the call has run"
	case unknownStoreDown:
		p.Status, p.Reason = http.StatusServiceUnavailable, call.ReasonStoreDown
		p.Title = "an earlier call with this key may have run"
		p.Detail = "this sending was not run, since the claim could not be recorded; send again with the same key"
		w.Header().Set("Retry-After", retryAfterSeconds(retryAfterDefault+rand.N(storeDownJitter)))
	}
	writeProblem(w, p)
}

func writeProblem(w http.ResponseWriter, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(p.Status)
	// An error here means that the caller has left.
	_ = json.NewEncoder(w).Encode(p)
}

// statusOf returns the HTTP status of a refusal.
func statusOf(r call.Reason) int {
	switch r {
	case call.ReasonNoRoute:
		return http.StatusNotFound
	case call.ReasonInternal:
		return http.StatusForbidden
	case call.ReasonNotHeld:
		return http.StatusMisdirectedRequest
	case call.ReasonOverRate, call.ReasonOverQuota:
		return http.StatusTooManyRequests
	case call.ReasonNoKey:
		return http.StatusUnauthorized
	case call.ReasonExpired:
		return http.StatusGatewayTimeout
	case call.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case call.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case call.ReasonBadRequest:
		return http.StatusBadRequest
	case call.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// retryAfterSeconds rounds up, so that a caller does not retry too early.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = retryAfterDefault
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func parseRetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(first(h, "Retry-After"))
	if err != nil || n < 0 || n > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(n) * time.Second
}

const maxRetryAfterSeconds = 3600
