package proxy

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/route"
)

// Guards against the ejection of a healthy endpoint: resends of a key whose first run was lost are
// answered with an unknown outcome, which counted as failed calls of the endpoint.
func TestUnknownKeyDoesNotEjectEndpoint(t *testing.T) {
	for kind, eject := range map[unknownKind]bool{
		unknownKeyOutcome: false, unknownNotStored: false, unknownStoreDown: false, unknownLost: true, unknownTimeout: true,
	} {
		t.Run(string(kind), func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := route.New(route.Options{Self: "vm1", Seed: 1})
			p.Update(now, []route.Endpoint{{ID: "a/1", Ready: true}, {ID: "b/1", Ready: true}})
			for range 10 {
				c, err := p.PickByKey(now, 1, nil)
				if err != nil {
					t.Fatal(err)
				}
				r := report(&answer{err: &unknownError{kind}}, time.Millisecond)
				c.Done(now, route.Report{Outcome: r.Outcome, Failed: r.Failed, Refused: r.Refused, Latency: r.Latency})
			}
			ejected := false
			for _, e := range p.Endpoints(now) {
				ejected = ejected || e.Ejected
			}
			if ejected != eject {
				t.Errorf("ejected: %v, want %v", ejected, eject)
			}
			if o := (&answer{err: &unknownError{kind}}).outcome(); o != call.Unknown {
				t.Errorf("outcome %v", o)
			}
		})
	}
}
