package proxy

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// deadlines counts the read deadlines that are set on its connection.
type deadlineCounter struct {
	*httptest.ResponseRecorder
	set int
}

func (d *deadlineCounter) SetReadDeadline(time.Time) error {
	d.set++
	return nil
}

// A survey photo is refused by the backend server before all of it was sent,
// and its caller books a launch on the same connection. Then the transport
// closes the connection onwards, on which the rest of the photo was to go, and
// with it ended the reading from the caller: the launch was cut off while it
// ran, and nobody could tell its caller whether it had.
func TestUpstreamCloseSparesCallersNextCall(t *testing.T) {
	for name, over := range map[string]bool{"in the call": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			w := &deadlineCounter{ResponseRecorder: httptest.NewRecorder()}
			r := httptest.NewRequest("POST", "/", strings.NewReader("photo"))
			b := body{length: 5, stream: newStreamBody(w, r, 0)}
			b.stream.Read(make([]byte, 1))
			c := &conn{Conn: new(sink)}
			c.assign(b.stream)
			want := 1
			if over {
				b.release()
				want = 0
			}
			c.Close()
			if w.set != want {
				t.Errorf("the caller's connection was given %d deadlines, want %d", w.set, want)
			}
		})
	}
}

// A large upload is refused unread by an endpoint that is draining, and goes to the next
// one. Only then does the transport close the connection to the first, as the refusal said
// that it ends. That ended the reading from the caller, half of the upload was lost under
// way, and the caller was told "may have run" of a call that nothing was wrong with.
func TestRefusedConnectionCloseSparesNextAttempt(t *testing.T) {
	w := &deadlineCounter{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest("POST", "/", strings.NewReader("photo"))
	b := newStreamBody(w, r, 0)
	refused, next := &conn{Conn: new(sink)}, &conn{Conn: new(sink)}
	refused.assign(b)
	next.assign(b)
	b.Read(make([]byte, 1))
	refused.Close()
	if w.set != 0 {
		t.Error("the connection of the refused attempt ended the reading of the next one")
	}
	next.Close()
	if w.set != 1 {
		t.Error("the connection that the body goes out on did not end the reading")
	}
}

// cutReader fails as net/http does whose read deadline has passed.
type timedOutReader struct{}

func (timedOutReader) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// An endpoint dies under an upload. The node ends the reading from the caller by a deadline
// in the past, and its log said "i/o timeout": it looked as if the caller had been slow.
func TestAbortedBodyErrorNamesConnection(t *testing.T) {
	r := httptest.NewRequest("POST", "/", timedOutReader{})
	b := newStreamBody(&deadlineCounter{ResponseRecorder: httptest.NewRecorder()}, r, 0)
	c := &conn{Conn: new(sink)}
	c.assign(b)
	b.readStarted.Store(true)
	c.Close()
	if _, err := b.Read(make([]byte, 1)); !errors.Is(err, errBodyConnBroke) {
		t.Errorf("got %v, want %v", err, errBodyConnBroke)
	}
}

// A booking is refused before its body was read, and its caller sends the next
// one on the same connection. net/http breaks that connection after the answer
// without a word ("invalid concurrent Body.Read call"), since the node lets
// answers begin before the body has ended. The next booking met the break, and
// its caller could not know whether it ran. The answer must say that the
// connection ends, and only then.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	m, _ := newKeyedMesh(t, func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	for name, c := range map[string]struct {
		length int64
		key    string
		ends   bool
	}{
		"refused unread": {-1, "k1", true},
		"read whole":     {maxBufferedBody + 1, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := strings.NewReader(strings.Repeat("x", maxBufferedBody+1))
			req, _ := http.NewRequest("POST", m.public.URL+"/", io.NopCloser(b))
			req.ContentLength = c.length
			req.Header.Set("Idempotency-Key", c.key)
			resp, err := m.public.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.Close != c.ends {
				t.Errorf("status %d: the connection ends: %v, want %v", resp.StatusCode, resp.Close, c.ends)
			}
		})
	}
}
