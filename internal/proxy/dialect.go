package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// Dialect defines the headers and status codes used towards callers and backend servers. Between
// nodes they are always the same.
type Dialect interface {
	// CallID returns the ID of a call in the logs of all nodes, or "".
	CallID(h http.Header) string
	// AcceptCall returns the time bounds of the call, and sets the headers in h about the call's
	// origin that only this node may set. ok is false if the caller's deadline is malformed.
	AcceptCall(h http.Header, t *config.Target) (bounds TimeBounds, ok bool)
	// TakeKey returns the caller's API key, or "". It removes a workspace header set by the
	// caller, and the key itself if hide is set.
	TakeKey(h http.Header, hide bool) string
	// SetWorkspace sets the workspace of a call for backend servers.
	SetWorkspace(h http.Header, name string)
	// Workspace returns the workspace set by SetWorkspace, or "".
	Workspace(h http.Header) string
	// AttemptHeaders returns the headers that one attempt adds for the backend server. left is
	// rounded down, so that a hop never grants more time than remains.
	AttemptHeaders(left time.Duration, instance string) AttemptHeaders
	// ReadResponse evaluates the status and header of a backend server's answer. sent is the
	// whole header of the attempt, including the headers of AttemptHeaders.
	ReadResponse(sent http.Header, resp *http.Response) ResponseInfo
	// RefusalStatus returns the status code for a refusal and the value of Retry-After, empty
	// for none.
	RefusalStatus(r *call.Refusal) (status int, retryAfter string)
}

// AttemptHeaders are the headers that one attempt adds. Entries without a name are skipped.
type AttemptHeaders [3]Header

// Header is one header of a request.
type Header struct{ Name, Value string }

// ResponseInfo is the result of evaluating a backend server's answer.
type ResponseInfo struct {
	// Refusal is set if the backend server reported that it did not run the call. An answer that
	// may belong to another call is no such report, whatever its status.
	Refusal *call.Refusal
	// Err is set if the answer doesn't belong to this attempt or can't be relayed. The call may
	// have run.
	Err        error
	Load       Load
	Advertised Advertised
	// CallID and Instance are the call and the backend server that the answer names, or "". They
	// are for log lines.
	CallID, Instance string
}

// TimeBounds are the time bounds of a call.
type TimeBounds struct {
	// Left is how long the call may take until its answer begins.
	Left time.Duration
	// CallerWaits is how long the caller waits for the whole answer; zero if it doesn't say.
	CallerWaits time.Duration
}

// ownDialect is the native dialect of marlpass.
type ownDialect struct{}

// headerRequestID is the call ID that callers may set in the native dialect.
const headerRequestID = "X-Request-Id"

// CallID implements Dialect.
func (ownDialect) CallID(h http.Header) string { return first(h, headerRequestID) }

// AcceptCall implements Dialect.
func (ownDialect) AcceptCall(h http.Header, t *config.Target) (TimeBounds, bool) {
	left, ok := timeLeft(h, t.Deadline())
	b := TimeBounds{Left: left}
	if first(h, call.HeaderDeadline) != "" {
		b.CallerWaits = left
	}
	if t.TimeoutMS > 0 {
		b.Left = min(b.Left, t.Timeout())
	}
	return b, ok
}

const (
	headerAuthorization = "Authorization"
	// headerWorkspace names the workspace of a call to backend servers.
	headerWorkspace = "X-Workspace"
	keyScheme       = "Bearer"
)

// TakeKey implements Dialect.
func (ownDialect) TakeKey(h http.Header, hide bool) string {
	delete(h, headerWorkspace)
	return TakeCredentials(h, keyScheme, hide)
}

// SetWorkspace implements Dialect.
func (ownDialect) SetWorkspace(h http.Header, name string) { h[headerWorkspace] = []string{name} }

// Workspace implements Dialect.
func (ownDialect) Workspace(h http.Header) string { return first(h, headerWorkspace) }

// TakeCredentials returns the credentials of a scheme (RFC 9110, 11.4), or "". It removes them
// if hide is set, and leaves those of other schemes to the backend servers.
func TakeCredentials(h http.Header, scheme string, hide bool) string {
	given, credentials, _ := strings.Cut(first(h, headerAuthorization), " ")
	if !strings.EqualFold(given, scheme) {
		return ""
	}
	if hide {
		delete(h, headerAuthorization)
	}
	return strings.TrimSpace(credentials)
}

// AttemptHeaders implements Dialect.
func (ownDialect) AttemptHeaders(left time.Duration, _ string) AttemptHeaders {
	nonce, ms := attemptHeaders(left)
	return AttemptHeaders{nonce, ms}
}

// ReadResponse implements Dialect.
func (ownDialect) ReadResponse(sent http.Header, resp *http.Response) ResponseInfo {
	return ResponseInfo{
		Refusal:    refusedByBackend(resp.Header, first(sent, call.HeaderAttempt)),
		Load:       parseBackendLoad(resp.Header),
		Advertised: parseAdvertised(resp.Header),
		CallID:     first(resp.Header, headerRequestID),
	}
}

// RefusalStatus implements Dialect.
func (ownDialect) RefusalStatus(r *call.Refusal) (int, string) {
	status := statusOf(r.Reason)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		return status, retryAfterSeconds(r.RetryAfter)
	}
	return status, ""
}

// loadValue encodes a load as nodes send it to each other.
func loadValue(l Load) []string {
	if !l.Known {
		return nil
	}
	return []string{strconv.Itoa(l.Busy) + "/" + strconv.Itoa(l.Slots)}
}
