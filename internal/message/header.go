// Package message checks HTTP/1.1 messages as their bytes arrive, before net/http parses them.
//
// net/http takes some heads that are none: it skips a field line with a blank in its name when it
// writes the header again, and reads the body by another rule than the sender if that line was
// Content-Length.
package message

import "bytes"

// Header counts the lines of the header of a message as they arrive, the first line included, up to the
// empty line that ends it. Its zero value is ready for a message.
type Header struct {
	Bytes, Lines int
	// Ended means that the empty line has arrived.
	Ended bool
	// BlankInName means that a field line has a blank before its colon.
	BlankInName bool

	named     bool // the colon of the current line has arrived, or the line needs none
	blank     bool // a blank has arrived before it
	lineBytes int  // of the current line so far, without its line feed
	onlyCR    bool // the current line consists of a carriage return so far
}

// Add takes in the next bytes.
func (h *Header) Add(p []byte) {
	for len(p) > 0 && !h.Ended {
		end := bytes.IndexByte(p, '\n')
		part := p
		if end >= 0 {
			part = p[:end]
		}
		h.addPart(part)
		if end < 0 {
			h.Bytes += len(p)
			return
		}
		h.Bytes += end + 1
		p = p[end+1:]
		h.endLine()
	}
}

func (h *Header) addPart(part []byte) {
	if h.lineBytes == 0 && len(part) > 0 && (h.Lines == 0 || part[0] == ' ' || part[0] == '\t') {
		h.named = true // the first line, or one that continues the line before it
	}
	if !h.named {
		name, _, found := bytes.Cut(part, colon)
		h.blank = h.blank || bytes.ContainsAny(name, " \t")
		h.named = found
		if found && h.blank {
			h.BlankInName = true
		}
	}
	if len(part) > 0 {
		h.lineBytes += len(part)
		h.onlyCR = h.lineBytes == 1 && part[0] == '\r'
	}
}

var colon = []byte{':'}

func (h *Header) endLine() {
	if (h.lineBytes == 0 || h.onlyCR) && h.Lines > 0 {
		h.Ended = true
	}
	h.Lines++
	h.named, h.blank, h.lineBytes, h.onlyCR = false, false, 0, false
}
