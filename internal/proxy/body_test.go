package proxy

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// deadlines counts the read deadlines that are set on its connection.
type deadlines struct {
	*httptest.ResponseRecorder
	set int
}

func (d *deadlines) SetReadDeadline(time.Time) error {
	d.set++
	return nil
}

// A survey photo is refused by the backend server before all of it was sent,
// and its caller books a launch on the same connection. Then the transport
// closes the connection onwards, on which the rest of the photo was to go, and
// with it ended the reading from the caller: the launch was cut off while it
// ran, and nobody could tell its caller whether it had.
func TestCloseOnwardsLeavesTheCallersNextCallAlone(t *testing.T) {
	for name, over := range map[string]bool{"in the call": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
			r := httptest.NewRequest("POST", "/", strings.NewReader("photo"))
			b := body{length: 5, stream: newStreamBody(w, r)}
			b.stream.Read(make([]byte, 1))
			c := &conn{Conn: new(sink)}
			c.begin(b.stream)
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
