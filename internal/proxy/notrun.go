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

// This file alone says that a call was not run. A caller acts on that word: it
// sends a booking again. If the word were ever wrong, the booking would run
// twice. So a *call.Refusal is made here only, in one of four ways:
//
//   - refuse: this node turned the call away and never sent it on;
//   - unsent: the connection for the attempt is proved to have carried no
//     byte, and is closed for writing so that none can follow;
//   - refusedByBackend: the backend server said so with this attempt's nonce;
//   - refusedByNode: the destination node said so, in one of the ways above.
//
// The interfaces of policy.go may return refusals of their own; they are asked
// before the call is sent on.

// refuse returns the refusal of a call that this node has not sent on.
func refuse(why call.Reason, after time.Duration, detail string) *call.Refusal {
	return &call.Refusal{Reason: why, RetryAfter: after, Detail: detail}
}

// unsent returns a refusal if it is certain that no byte of the attempt was or
// will be written, and nil otherwise.
func (a *attempt) unsent() *call.Refusal {
	if !a.blockWrites() {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonUnreachable, RetryAfter: retryAfterUnreachable}
}

// refusedByBackend returns a refusal if the backend server repeats the nonce
// of this attempt. A header copied from the answer to a deeper call carries
// that call's nonce, and is not believed.
func refusedByBackend(h http.Header, nonce string) *call.Refusal {
	if nonce == "" || first(h, call.HeaderRefused) != nonce {
		return nil
	}
	r := &call.Refusal{Reason: call.ReasonBackend, RetryAfter: parseRetryAfter(h)}
	if first(h, call.HeaderNotRun) != "" || first(h, retry.HeaderFinal) != "" {
		// The backend server refused because a call of its own was refused.
		// That one was already tried again a level below.
		r.Detail = detailDeep
	}
	return r
}

// refusedByNode returns the refusal that another node marked, or nil.
func refusedByNode(h http.Header) *call.Refusal {
	why := first(h, call.HeaderNotRun)
	if why == "" {
		return nil
	}
	r := &call.Refusal{Reason: call.Reason(why), RetryAfter: parseComeBack(h), Detail: first(h, headerDetail)}
	if first(h, headerDeep) != "" {
		r.Detail = detailDeep
	}
	return r
}

const (
	// headerComeBack tells, between nodes, in how many milliseconds the refusing
	// node expects to have room. Retry-After has whole seconds, in which a queue
	// drains several times over.
	headerComeBack = "Marlpass-Come-Back"
	// headerDetail says, between nodes, what the logs are to say of a refusal.
	headerDetail = "Marlpass-Detail"
)

// parseComeBack returns when to come back; a node of an earlier version says it as
// callers are told.
func parseComeBack(h http.Header) time.Duration {
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

// headerDeep marks, between nodes, a refusal that began in a deeper call.
const headerDeep = "Marlpass-Deep"

const detailDeep = "a call further down was refused"

const (
	retryAfterUnreachable = time.Second
	retryAfterDefault     = time.Second
	// storeDownSpread keeps callers whose claims failed together from coming
	// back together.
	storeDownSpread = 4 * time.Second
)

// problem is the body of a refusal, as application/problem+json.
type problem struct {
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Reason call.Reason `json:"reason,omitempty"`
	Detail string      `json:"detail,omitempty"`
	NotRun bool        `json:"not_run"`
}

// writeRefusal answers another node that the call was not run. It has no body and
// nothing else that only people read: under overload a call may be refused by several
// nodes, and with a problem document each refusal took 326 bytes.
func writeRefusal(w http.ResponseWriter, r *call.Refusal) {
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

// writeRefused answers that the call was not run, as d says it.
func writeRefused(w http.ResponseWriter, r *call.Refusal, d Dialect) {
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

// headerUnknown marks, between nodes, the answer that a call may have run and
// has no answer for its caller. Its value is an unknownKind.
const headerUnknown = "Marlpass-Unknown"

// unknownKind says why a call that may have run has no answer.
type unknownKind string

const (
	unknownLost    unknownKind = "lost"
	unknownWaited  unknownKind = "waited"
	unknownKey     unknownKind = "key"
	unknownNotKept unknownKind = "not-kept"
	unknownStore   unknownKind = "store-down"
	unknownTooLong unknownKind = "too-large"
)

// ofKey reports whether the kind tells of an earlier sending of the key.
func ofKey(kind unknownKind) bool {
	return kind == unknownKey || kind == unknownNotKept || kind == unknownStore
}

// unknownError is what another node said of a call that may have run.
type unknownError struct{ kind unknownKind }

func (e *unknownError) Error() string {
	return "proxy: the destination has no answer: " + string(e.kind)
}

func kindOf(err error) unknownKind {
	var u *unknownError
	switch {
	case errors.As(err, &u):
		return u.kind
	case errors.Is(err, ErrOutcomeUnknown):
		return unknownKey
	case errors.Is(err, errNotKept):
		return unknownNotKept
	case errors.Is(err, errStoreDown):
		return unknownStore
	case errors.Is(err, errAnswerTimeout):
		return unknownWaited
	case errors.Is(err, errBodyTooLong):
		return unknownTooLong
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
	switch kindOf(err) {
	case unknownWaited:
		p.Status, p.Detail = http.StatusGatewayTimeout, "no answer came within the deadline"
	case unknownTooLong:
		p.Status, p.Detail = http.StatusRequestEntityTooLarge, "the body grew longer than callers may send"
	case unknownKey:
		p.Status, p.Detail = http.StatusConflict, "an earlier call with this key may have run, and its answer is not known"
	case unknownNotKept:
		p.Status, p.Detail = http.StatusConflict, "an earlier call with this key was answered, and its answer was too large to keep"
		p.Title = "the call has run"
	case unknownStore:
		p.Status, p.Reason = http.StatusServiceUnavailable, call.ReasonStoreDown
		p.Title = "an earlier call with this key may have run"
		p.Detail = "this sending was not run, since the claim could not be recorded; send again with the same key"
		w.Header().Set("Retry-After", retryAfterSeconds(retryAfterDefault+rand.N(storeDownSpread)))
	}
	writeProblem(w, p)
}

func writeProblem(w http.ResponseWriter, p problem) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(p.Status)
	// An error here means that the caller has gone.
	_ = json.NewEncoder(w).Encode(p)
}

// statusOf returns the HTTP status that tells of a refusal.
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

// retryAfterSeconds rounds up: a caller must not come back too early.
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
