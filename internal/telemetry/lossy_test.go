package telemetry

import (
	"io"
	"testing"
)

// Nobody reads the log's pipe any more. A plain write to it blocks once it is full,
// and every call that has something to log with it.
func TestLossyNeverWaitsForItsReader(t *testing.T) {
	r, w := io.Pipe() // takes nothing until it is read
	l := NewLossy(w)
	line := []byte("line\n")
	for range 4 * lossyLines {
		if n, err := l.Write(line); n != len(line) || err != nil {
			t.Fatal(n, err)
		}
	}
	// What is left comes out once there is a reader again.
	read := make(chan int)
	go func() {
		b, _ := io.ReadAll(r)
		read <- len(b)
	}()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if n := <-read; n == 0 || n >= 4*lossyLines*len(line) {
		t.Errorf("%d bytes came", n)
	}
	if l.Lost() == 0 {
		t.Error("no line counts as lost")
	}
}
