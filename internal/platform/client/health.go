package client

import (
	"sync"
	"time"
)

// Health is what the client's last calls say about the platform.
type Health struct {
	// Asked is false until the first call has ended; the rest is then zero.
	Asked bool
	// Answering says whether the newest try got an answer. A refusal for
	// exceeding a rate limit is one; status 500 and above is none.
	Answering bool
	// Since is when Answering took its value.
	Since time.Time
	// LastAnswer is when the platform last answered; zero if it never did.
	LastAnswer time.Time
	// Err is why it doesn't answer, or nil.
	Err error
}

type health struct {
	mu  sync.Mutex
	now Health
}

func (h *health) load() Health {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

// note records the end of a try; f is nil if it succeeded.
func (h *health) note(f *failure) {
	answering := f == nil || f.answered()
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.now.Asked || h.now.Answering != answering {
		h.now.Asked, h.now.Answering, h.now.Since = true, answering, now
	}
	h.now.Err = nil
	if answering {
		h.now.LastAnswer = now
		return
	}
	h.now.Err = f.cause
}
