package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// headerTook carries a took back from the destination node.
const headerTook = "Marlpass-Took"

// took says what a call's time at its destination went into.
type destinationTimes struct {
	wait time.Duration // for a slot
	run  time.Duration // at the backend server, until its answer was there
}

// String encodes t in whole milliseconds.
func (t destinationTimes) String() string {
	return strconv.FormatInt(t.wait.Milliseconds(), 10) + "/" + strconv.FormatInt(t.run.Milliseconds(), 10)
}

// parseTook decodes what String made; it is only for logs, and zero if it is not
// there.
func parseDestinationTimes(h http.Header) destinationTimes {
	wait, run, ok := strings.Cut(first(h, headerTook), "/")
	w, err1 := strconv.ParseInt(wait, 10, 32)
	r, err2 := strconv.ParseInt(run, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return destinationTimes{}
	}
	return destinationTimes{time.Duration(w) * time.Millisecond, time.Duration(r) * time.Millisecond}
}
