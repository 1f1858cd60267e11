package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, target, host string
	headers              []string // further header lines
	body                 string
	deadline             time.Duration
	id                   string
}

// answer is what the client got.
type answer struct {
	status          int
	id, signature   string
	body            string
	err             error // the answer is incomplete or there is none
	took            time.Duration
	retryAfter      string
	connectionClose bool
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	s := fmt.Sprintf("%d, Attempt-Id %q, signature %q, body %q", a.status, a.id, a.signature, short(a.body))
	if a.err != nil {
		s += fmt.Sprintf(", incomplete: %v", a.err)
	}
	return s
}

func short(s string) string {
	if len(s) > 120 {
		return s[:120] + "..."
	}
	return s
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// text returns the request as it is sent.
func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	for _, line := range q.headers {
		b.WriteString(line + "\r\n")
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// send sends a request on a new connection and reads its answer.
func send(addr string, q *request) answer {
	if q.id == "" {
		q.id = newID()
	}
	if q.deadline == 0 {
		q.deadline = 2 * time.Second
	}
	start := time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(q.deadline + time.Second)) // an error means that it is closed
	if _, err := io.WriteString(c, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), q, start)
}

func readAnswer(r *bufio.Reader, q *request, start time.Time) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, id: resp.Header.Get("Attempt-Id"), signature: resp.Header.Get("Response-Signature"),
		body: string(body), err: err, took: time.Since(start), retryAfter: resp.Header.Get("Retry-After"), connectionClose: resp.Close,
	}
}
