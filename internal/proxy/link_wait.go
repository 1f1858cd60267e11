package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// headerLinkWait is the header that reports to the entry node, in milliseconds, how long large
// answers wait for the destination's link. It is omitted if they do not wait.
const headerLinkWait = "Marlpass-Link-Wait"

func (d *Destination) setLinkWait(h http.Header) {
	if ms := d.Link.Wait().Milliseconds(); ms > 0 {
		h[headerLinkWait] = []string{strconv.FormatInt(ms, 10)}
	}
}

// parseLinkWait returns the reported wait, or zero if the header is missing or invalid.
func parseLinkWait(h http.Header) time.Duration {
	value := first(h, headerLinkWait)
	if value == "" {
		return 0 // the header is usually absent, and an error costs an allocation
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
