package message

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ErrMalformed means that what came as an answer is none in HTTP/1.1, or not where one was expected. It
// wraps a detail.
var ErrMalformed = errors.New("message: not an answer in HTTP/1.1")

// errCut means that an answer without a length ended with a connection that had been reset.
var errCut = errors.New("message: the connection was reset before the answer's end was known")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// phase is what a Response expects next.
type phase int

const (
	phaseIdle       phase = iota // no request is unanswered
	phaseStatus                  // the status line
	phaseFields                  // a field line, or the empty line
	phaseBody                    // remaining bytes of a body
	phaseUntilClose              // a body that ends with the connection
	phaseChunkSize
	phaseChunk    // remaining bytes of a chunk
	phaseChunkEnd // the line end behind a chunk
	phaseTrailer
	phaseFailed
)

// maxLine bounds a line of a head or of a chunked body, in bytes.
const maxLine = 64 << 10

// Response checks the answers on one connection, byte by byte as they arrive, by RFC 9112: it fails
// before a reader that is more lenient gets to see what is wrong. Its zero value is ready for Begin. It
// is not safe for concurrent use.
type Response struct {
	phase     phase
	err       error
	head      bool   // the request's method is HEAD
	line      []byte // the begin of a line that has not arrived whole
	remaining int64

	status     int
	oldVersion bool // HTTP/1.0
	chunked    bool
	length     int64 // of Content-Length; negative without
}

// Begin expects the answer to a request of a method. It fails if the last answer has not ended well, so
// that what follows could belong to it.
func (r *Response) Begin(method string) error {
	if r.phase != phaseIdle {
		return r.fail(malformed("the last answer has not ended"))
	}
	r.phase, r.head = phaseStatus, method == "HEAD"
	return nil
}

// UntilClose reports whether an answer is being read whose body ends with the connection.
func (r *Response) UntilClose() bool { return r.phase == phaseUntilClose }

func (r *Response) fail(err error) error {
	r.phase, r.err, r.line = phaseFailed, err, nil
	return err
}

// Add takes in bytes from the connection, and returns how many of them belong to the answer. If there are
// more, the error says why they don't; so do all later calls.
func (r *Response) Add(p []byte) (n int, err error) {
	for n < len(p) {
		used, err := r.next(p[n:])
		if err != nil {
			return n, r.fail(err)
		}
		n += used
	}
	return n, nil
}

// next takes in a part of p.
func (r *Response) next(p []byte) (used int, err error) {
	switch r.phase {
	case phaseFailed:
		return 0, r.err
	case phaseIdle:
		return 0, malformed("bytes that belong to no answer")
	case phaseUntilClose:
		return len(p), nil
	case phaseBody, phaseChunk:
		n := min(int64(len(p)), r.remaining)
		r.remaining -= n
		if r.remaining == 0 {
			r.endData()
		}
		return int(n), nil
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		if len(r.line)+len(p) > maxLine {
			return 0, malformed("a line of more than %d bytes", maxLine)
		}
		r.line = append(r.line, p...)
		return len(p), nil
	}
	line := p[:end]
	if len(r.line) > 0 {
		line = append(r.line, line...)
		r.line = r.line[:0]
	}
	if len(line) > 0 && line[len(line)-1] == '\r' {
		line = line[:len(line)-1]
	}
	return end + 1, r.addLine(line)
}

// endData goes on behind a body or a chunk whose bytes have all arrived.
func (r *Response) endData() {
	if r.phase == phaseChunk {
		r.phase = phaseChunkEnd
		return
	}
	r.phase = phaseIdle
}

// addLine takes in a line without its end.
func (r *Response) addLine(line []byte) error {
	switch r.phase {
	case phaseStatus:
		r.phase, r.chunked, r.length = phaseFields, false, -1
		return r.addStatus(line)
	case phaseFields:
		if len(line) == 0 {
			return r.endHead()
		}
		return r.addField(line)
	case phaseChunkSize:
		return r.addChunkSize(line)
	case phaseChunkEnd:
		r.phase = phaseChunkSize
		if len(line) > 0 {
			return malformed("a chunk is longer than its size")
		}
	case phaseTrailer:
		if len(line) == 0 {
			r.phase = phaseIdle
			return nil
		}
		_, _, err := splitField(line)
		return err
	}
	return nil
}

// addStatus reads a status line (RFC 9112, 4). The blank before a missing reason may be missing too.
func (r *Response) addStatus(line []byte) error {
	const version = "HTTP/1."
	if len(line) < len("HTTP/1.1 200") || string(line[:len(version)]) != version || !isDigit(line[7]) || line[8] != ' ' {
		return malformed("status line %.40q", line)
	}
	r.oldVersion = line[7] == '0'
	status, reason := line[9:12], line[12:]
	if !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || len(reason) > 0 && reason[0] != ' ' || hasControl(reason) {
		return malformed("status line %.40q", line)
	}
	r.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	// Nobody asks for another protocol.
	if r.status < 100 || r.status > 599 || r.status == 101 {
		return malformed("status %03d", r.status)
	}
	return nil
}

// addField reads a field line (RFC 9112, 5).
func (r *Response) addField(line []byte) error {
	name, value, err := splitField(line)
	switch {
	case err != nil:
		return err
	case equalFold(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || !isDigit(value[0]) || r.length >= 0 && r.length != int64(n) {
			return malformed("Content-Length %.40q", value)
		}
		r.length = int64(n)
	case equalFold(name, "transfer-encoding"):
		if r.chunked || r.oldVersion || !equalFold(value, "chunked") {
			return malformed("Transfer-Encoding %.40q", value)
		}
		r.chunked = true
	}
	return nil
}

// splitField returns the name and the value of a field line. A line that continues another is none.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, colon)
	if !found || len(name) == 0 {
		return nil, nil, malformed("field line %.40q", line)
	}
	for _, c := range name {
		if !isToken[c] {
			return nil, nil, malformed("field name %.40q", name)
		}
	}
	if hasControl(value) {
		return nil, nil, malformed("value of field %.40q", name)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// endHead decides how the body ends (RFC 9112, 6.3).
func (r *Response) endHead() error {
	switch {
	case r.chunked && r.length >= 0:
		return malformed("both a length and chunks")
	case r.status < 200:
		r.phase = phaseStatus // the final answer follows
	case r.head || r.status == 204 || r.status == 304 || r.length == 0:
		r.phase = phaseIdle
	case r.chunked:
		r.phase = phaseChunkSize
	case r.length > 0:
		r.phase, r.remaining = phaseBody, r.length
	default:
		r.phase = phaseUntilClose
	}
	return nil
}

// addChunkSize reads the line before a chunk (RFC 9112, 7.1). Extensions have no meaning here.
func (r *Response) addChunkSize(line []byte) error {
	digits, _, _ := bytes.Cut(line, semicolon)
	n, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	if err != nil || !isHex(line[0]) || hasControl(line) {
		return malformed("chunk size %.40q", line)
	}
	r.phase, r.remaining = phaseChunk, int64(n)
	if n == 0 {
		r.phase = phaseTrailer
	}
	return nil
}

var semicolon = []byte{';'}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isHex(c byte) bool { return isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'f' }

// hasControl reports whether text has a control character other than a tab.
func hasControl(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// equalFold compares text with a name in lower case.
func equalFold(text []byte, lower string) bool {
	return len(text) == len(lower) && bytes.EqualFold(text, []byte(lower))
}

// isToken holds the characters of field names (RFC 9110, 5.6.2).
var isToken = func() (t [math.MaxUint8 + 1]bool) {
	for c := range t {
		t[c] = isDigit(byte(c)) || 'a' <= c|0x20 && c|0x20 <= 'z'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		t[c] = true
	}
	return t
}()
