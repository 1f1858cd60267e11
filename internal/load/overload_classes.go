package load

import (
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// workClass is one class of work of the overload measurement.
type workClass struct {
	name       string
	method     string
	path       string
	bytes      int           // length of an answer
	body       int           // length of a request's body
	mean       time.Duration // mean service time, exponentially distributed
	part       float64       // of the capacity, at a load of one
	within     time.Duration // answer time aimed at
	percentile float64
	deadline   time.Duration
	share      float64
	priority   int
	idempotent bool
}

// Classes of the overload measurement, tightest answer time first.
func workClasses() []workClass {
	return []workClass{
		{
			name: "bookings", method: http.MethodPost, path: "/bookings", bytes: 200, body: 200,
			mean: 50 * time.Millisecond, part: 0.3, within: 300 * time.Millisecond, percentile: 95,
			deadline: time.Second, priority: 7,
		},
		{
			name: "lookups", method: http.MethodGet, path: "/lookups", bytes: 1000,
			mean: 50 * time.Millisecond, part: 0.4, within: 600 * time.Millisecond, percentile: 95,
			deadline: 1500 * time.Millisecond, priority: 5, idempotent: true,
		},
		{
			name: "bulk", method: http.MethodGet, path: "/archive", bytes: 20000,
			mean: 300 * time.Millisecond, part: 0.3, within: 2500 * time.Millisecond, percentile: 95,
			deadline: 4 * time.Second, share: 0.2, priority: 2, idempotent: true,
		},
	}
}

// rate returns the calls a second that take up the class's part of the slots.
func (c *workClass) rate(slots int, load float64) float64 {
	return load * c.part * float64(slots) / c.mean.Seconds()
}

// target is what an operator states for the class.
func (c *workClass) target() *adminapi.TargetSpec {
	t := &adminapi.TargetSpec{
		Service:        service,
		Match:          adminapi.Match{PathPrefix: c.path, Methods: []string{c.method}},
		Idempotent:     adminapi.NewOptBool(c.idempotent),
		AnswerWithinMs: adminapi.NewOptInt64(c.within.Milliseconds()),
		Percentile:     adminapi.NewOptFloat64(c.percentile),
		DeadlineMs:     adminapi.NewOptInt64(c.deadline.Milliseconds()),
		Priority:       adminapi.NewOptInt(c.priority),
	}
	if c.share > 0 {
		t.Share = adminapi.NewOptFloat64(c.share)
	}
	return t
}
