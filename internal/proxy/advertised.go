package proxy

import (
	"net/http"

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
