package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// headerLinkWait tells the entry node, in milliseconds, how long large answers wait
// for the destination's link. It is left out where they don't.
const headerLinkWait = "Marlpass-Link-Wait"

func (d *Destination) setLinkWait(h http.Header) {
	if ms := d.Link.Wait().Milliseconds(); ms > 0 {
		h[headerLinkWait] = []string{strconv.FormatInt(ms, 10)}
	}
}

// parseLinkWait returns zero for a header that is not there or says nothing.
func parseLinkWait(h http.Header) time.Duration {
	value := first(h, headerLinkWait)
	if value == "" {
		return 0 // most answers have none, and an error costs an allocation
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
