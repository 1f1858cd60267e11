package node

import (
	"math"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/quota"
)

// maxToldRetryAfter bounds the retry delay that a collector states.
const maxToldRetryAfter = time.Minute

func encodeUsage(list []quota.Usage) []*peerpb.WorkspaceUsage {
	out := make([]*peerpb.WorkspaceUsage, len(list))
	for i, u := range list {
		out[i] = &peerpb.WorkspaceUsage{
			Workspace: u.Workspace, Recent: u.RecentRate, Usual: u.AverageRate, Admitted: uint64(max(u.Admitted, 0)),
			Waiting: uint32(max(u.Waiting, 0)), Overdue: u.OverdueRate,
		}
	}
	return out
}

func decodeUsage(list []*peerpb.WorkspaceUsage) []quota.Usage {
	out := make([]quota.Usage, len(list))
	for i, u := range list {
		out[i] = quota.Usage{
			Workspace: u.GetWorkspace(), RecentRate: rateOf(u.GetRecent()), AverageRate: rateOf(u.GetUsual()),
			Admitted: int64(min(u.GetAdmitted(), math.MaxInt64)), Waiting: int(min(u.GetWaiting(), math.MaxInt32)),
			OverdueRate: rateOf(u.GetOverdue()),
		}
	}
	return out
}

// rateOf returns a rate reported by a peer, bounded to the valid range; NaN and negative values
// become zero.
func rateOf(v float64) float64 {
	if math.IsNaN(v) || v < 0 {
		return 0
	}
	return min(v, config.MaxRatePerSecond)
}

func encodeAdmissions(list []quota.Admission) []*peerpb.WorkspacePart {
	out := make([]*peerpb.WorkspacePart, len(list))
	for i, p := range list {
		out[i] = &peerpb.WorkspacePart{Workspace: p.Workspace, Part: p.Ratio}
		if h := p.Hold; h != nil {
			out[i].Hold = &peerpb.WorkspaceHold{Calls: h.Calls, Foreseen: h.Foreseen, Granted: uint32(max(h.Granted, 0))}
		}
		if s := p.Split; s != nil {
			out[i].Split = &peerpb.WorkspaceSplit{InTime: s.InTime, Overdue: s.Overdue, RetryAfterMs: uint32(s.RetryAfter.Milliseconds())}
		}
	}
	return out
}

func decodeAdmissions(list []*peerpb.WorkspacePart) []quota.Admission {
	out := make([]quota.Admission, len(list))
	for i, p := range list {
		out[i] = quota.Admission{Workspace: p.GetWorkspace(), Ratio: min(rateOf(p.GetPart()), 1)}
		if h := p.GetHold(); h != nil {
			out[i].Hold = &quota.Hold{
				Calls: rateOf(h.GetCalls()), Foreseen: min(rateOf(h.GetForeseen()), quota.MaxForeseen), Granted: int(min(h.GetGranted(), math.MaxInt32)),
			}
		}
		if s := p.GetSplit(); s != nil {
			out[i].Split = &quota.Split{
				InTime: min(rateOf(s.GetInTime()), 1), Overdue: min(rateOf(s.GetOverdue()), 1),
				RetryAfter: min(time.Duration(s.GetRetryAfterMs())*time.Millisecond, maxToldRetryAfter),
			}
		}
	}
	return out
}
