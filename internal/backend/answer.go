package backend

import (
	"bufio"
	"errors"
	"fmt"
	"hash"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// HeaderRequest names the request in the headers of it and of its answer.
const HeaderRequest = "X-Request-Id"

// Errors of CheckAnswer.
var (
	// ErrCut means that an answer ended before its checksum.
	ErrCut = errors.New("backend: the answer is not complete")
	// ErrOther means that an answer belongs to another request.
	ErrOther = errors.New("backend: the answer belongs to another request")
	// ErrDamaged means that an answer does not have its checksum.
	ErrDamaged = errors.New("backend: the answer is damaged")
)

const (
	headFormat = "request %s\n"
	sumFormat  = "\nsum %016x\n"
	sumLength  = len("\nsum 0123456789abcdef\n")
	fillerUnit = "0123456789abcdefghijklmnopqrstuvwxyz-marlpass-answer-filler-text"
)

// AnswerLength returns the length of the answer to a request with n bytes of
// filler.
func AnswerLength(id string, n int) int {
	return len(fmt.Sprintf(headFormat, id)) + n + sumLength
}

// WriteAnswer writes the answer to the request id with n bytes of filler, and
// calls pause between its parts.
func WriteAnswer(w io.Writer, id string, n int, pause func() error) error {
	d := xxhash.New()
	if _, err := io.WriteString(io.MultiWriter(w, d), fmt.Sprintf(headFormat, id)); err != nil {
		return err
	}
	if err := writeFiller(w, d, n, pause); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, sumFormat, d.Sum64())
	return err
}

// filler is written in parts of this size.
var filler = strings.Repeat(fillerUnit, fillerPart/len(fillerUnit))

const fillerPart = 16 << 10

func writeFiller(w io.Writer, d hash.Hash, n int, pause func() error) error {
	for n > 0 {
		part := filler[:min(n, fillerPart)]
		if _, err := io.WriteString(io.MultiWriter(w, d), part); err != nil {
			return err
		}
		n -= len(part)
		if n > 0 && pause != nil {
			if err := pause(); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckAnswer reads an answer and tells whether it is complete, undamaged and
// that of the request id.
func CheckAnswer(id string, r io.Reader) error {
	br := bufio.NewReader(r)
	head, err := br.ReadString('\n')
	if err != nil {
		return ErrCut
	}
	if head != fmt.Sprintf(headFormat, id) {
		return ErrOther
	}
	d := xxhash.New()
	io.WriteString(d, head)
	return checkRest(br, d)
}

// checkRest sums all but the last sumLength bytes, and compares with those.
func checkRest(r io.Reader, d *xxhash.Digest) error {
	var tail []byte
	buf := make([]byte, fillerPart)
	for {
		n, err := r.Read(buf)
		tail = append(tail, buf[:n]...)
		if over := len(tail) - sumLength; over > 0 {
			d.Write(tail[:over])
			tail = append(tail[:0], tail[over:]...)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return ErrCut
		}
	}
	if len(tail) < sumLength || !strings.HasPrefix(string(tail), "\nsum ") {
		return ErrCut
	}
	if string(tail) != fmt.Sprintf(sumFormat, d.Sum64()) {
		return ErrDamaged
	}
	return nil
}
