package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
)

// leavingValue is the value of call.HeaderLeaving.
const leavingValue = "1"

// parseAdvertised reads what a backend server advertises in the native dialect.
func parseAdvertised(h http.Header) Advertised {
	return Advertised{
		Known:     true,
		RateLimit: limit.ParseAdvertisedRate(first(h, call.HeaderRateLimit)),
		Leaving:   first(h, call.HeaderLeaving) == leavingValue,
	}
}

// headerAdvertised carries between nodes what a backend server advertises. A destination node tells
// the entry nodes, and they tell it again with their next calls to that endpoint, since it may have
// restarted and lost what it knew.
const headerAdvertised = "Marlpass-Advertised"

// noRate stands for no rate limit in headerAdvertised.
const noRate = "-"

// any reports whether anything is advertised that restricts calls.
func (a Advertised) any() bool { return a.RateLimit.Present || a.Leaving }

// String encodes a as the value of headerAdvertised: the rate limit, whether it leaves, and the
// start of the incarnation.
func (a Advertised) String() string {
	rate, leaving := noRate, "0"
	if a.RateLimit.Present {
		rate = strconv.FormatFloat(a.RateLimit.PerSecond, 'g', -1, 64)
	}
	if a.Leaving {
		leaving = leavingValue
	}
	return rate + " " + leaving + " " + strconv.FormatInt(a.Started, 10)
}

// parseNodeAdvertised decodes the result of Advertised.String. Nothing is known if the header is
// missing or malformed.
func parseNodeAdvertised(h http.Header) Advertised {
	value := first(h, headerAdvertised)
	if value == "" {
		return Advertised{}
	}
	fields := strings.Split(value, " ")
	if len(fields) != 3 {
		return Advertised{}
	}
	a := Advertised{Known: true, Leaving: fields[1] == leavingValue}
	if fields[0] != noRate {
		a.RateLimit = limit.ParseAdvertisedRate(fields[0])
	}
	var err error
	if a.Started, err = strconv.ParseInt(fields[2], 10, 64); err != nil || a.RateLimit.Malformed {
		return Advertised{}
	}
	return a
}
