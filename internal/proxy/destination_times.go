package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerTook is the header that returns destinationTimes from the destination node.
const headerTook = "Marlpass-Took"

// destinationTimes splits the time that a call spent at its destination.
type destinationTimes struct {
	wait time.Duration // for a slot
	run  time.Duration // at the backend server, until its answer began
}

// String encodes t in whole milliseconds.
func (t destinationTimes) String() string {
	return strconv.FormatInt(t.wait.Milliseconds(), 10) + "/" + strconv.FormatInt(t.run.Milliseconds(), 10)
}

// parseDestinationTimes decodes the format of String. Its result is used for logs and metrics only,
// and zero if the header is missing or invalid.
func parseDestinationTimes(h http.Header) destinationTimes {
	wait, run, ok := strings.Cut(first(h, headerTook), "/")
	w, err1 := strconv.ParseInt(wait, 10, 32)
	r, err2 := strconv.ParseInt(run, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return destinationTimes{}
	}
	return destinationTimes{time.Duration(w) * time.Millisecond, time.Duration(r) * time.Millisecond}
}
