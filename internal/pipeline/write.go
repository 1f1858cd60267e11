package pipeline

import (
	"bufio"
	"sync"
	"time"
)

// writeBuffers are the buffers of responses that are being sent. A connection that waits for a request
// has none.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// writer returns the buffer of the connection. c.wmu is held.
func (c *conn) writer() *bufio.Writer {
	if c.bw == nil {
		c.bw = writeBuffers.Get().(*bufio.Writer)
		c.bw.Reset(boundedWriter{c})
	}
	return c.bw
}

// freeWriter returns the buffer, which is flushed, to the pool. c.wmu is held.
func (c *conn) freeWriter() {
	c.bw.Reset(nil)
	writeBuffers.Put(c.bw)
	c.bw = nil
}

// boundedWriter writes to the client within the server's write timeout.
type boundedWriter struct{ c *conn }

func (b boundedWriter) Write(p []byte) (int, error) {
	if d := b.c.s.WriteTimeout; d > 0 {
		if err := b.c.nc.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return b.c.nc.Write(p)
}
