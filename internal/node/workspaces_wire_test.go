package node

import (
	"math"
	"testing"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/quota"
)

// Guards against invalid rates and ratios from a peer, such as NaN: a single one would determine
// the admission of all calls of a workspace.
func TestPeerUsageIsBounded(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		u := decodeUsage([]*peerpb.WorkspaceUsage{{Workspace: "w", Recent: v, Usual: v, Admitted: math.MaxUint64}})[0]
		p := decodeAdmissions([]*peerpb.WorkspacePart{{Workspace: "w", Part: v}})[0]
		ok := u.RecentRate >= 0 && u.RecentRate <= 1e6 && u.AverageRate >= 0 && u.AverageRate <= 1e6 && u.Admitted >= 0
		if !ok || !(p.Ratio >= 0 && p.Ratio <= 1) {
			t.Errorf("%v: %+v, %+v", v, u, p)
		}
		p = decodeAdmissions([]*peerpb.WorkspacePart{{
			Hold:  &peerpb.WorkspaceHold{Calls: v, Foreseen: v, Granted: math.MaxUint32},
			Split: &peerpb.WorkspaceSplit{InTime: v, Overdue: v, RetryAfterMs: math.MaxUint32},
		}})[0]
		for _, got := range []float64{p.Hold.Foreseen / quota.MaxForeseen, p.Split.InTime, p.Split.Overdue, p.Hold.Calls / 1e6} {
			if !(got >= 0 && got <= 1) {
				t.Errorf("%v: %+v, %+v", v, p.Hold, p.Split)
			}
		}
		if p.Hold.Granted < 0 || p.Split.RetryAfter > maxToldRetryAfter {
			t.Errorf("%+v, %+v", p.Hold, p.Split)
		}
	}
}
