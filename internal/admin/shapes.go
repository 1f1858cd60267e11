package admin

import (
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func versionOf(v config.Version) adminapi.Version {
	return adminapi.Version{Number: adminapi.VersionNumber(v.Number), Hash: v.Hash.String()}
}

// targetFrom returns the stated target, without name and team.
func targetFrom(s *adminapi.TargetSpec) config.Target {
	return config.Target{
		Service: string(s.Service),
		Match: config.Match{
			Host:       s.Match.Host.Or(""),
			PathPrefix: s.Match.PathPrefix,
			Methods:    s.Match.Methods,
		},
		Idempotent:     s.Idempotent.Or(false),
		AnswerWithinMS: s.AnswerWithinMs.Or(0),
		Percentile:     s.Percentile.Or(0),
		DeadlineMS:     s.DeadlineMs.Or(0),
		Share:          s.Share.Or(0),
		RatePerSecond:  s.RatePerSecond.Or(0),
		Priority:       s.Priority.Or(0),
		Audience:       config.Audience(s.Audience.Or("")),
		OnStoreDown:    config.OnStoreDown(s.OnStoreDown.Or("")),
	}
}

func targetOf(t *config.Target) adminapi.Target {
	return adminapi.Target{
		Name: t.Name,
		Team: t.Team,
		Spec: adminapi.TargetSpec{
			Service: adminapi.Name(t.Service),
			Match: adminapi.Match{
				Host:       optString(t.Match.Host),
				PathPrefix: t.Match.PathPrefix,
				Methods:    t.Match.Methods,
			},
			Idempotent:     adminapi.OptBool{Value: t.Idempotent, Set: t.Idempotent},
			AnswerWithinMs: adminapi.OptInt64{Value: t.AnswerWithinMS, Set: t.AnswerWithinMS != 0},
			Percentile:     adminapi.OptFloat64{Value: t.Percentile, Set: t.Percentile != 0},
			DeadlineMs:     adminapi.OptInt64{Value: t.DeadlineMS, Set: t.DeadlineMS != 0},
			Share:          adminapi.OptFloat64{Value: t.Share, Set: t.Share != 0},
			RatePerSecond:  adminapi.OptFloat64{Value: t.RatePerSecond, Set: t.RatePerSecond != 0},
			Priority:       adminapi.OptInt{Value: t.Priority, Set: t.Priority != 0},
			Audience:       adminapi.OptAudience{Value: adminapi.Audience(t.Audience), Set: t.Audience != ""},
			OnStoreDown:    adminapi.OptOnStoreDown{Value: adminapi.OnStoreDown(t.OnStoreDown), Set: t.OnStoreDown != ""},
		},
	}
}

func serviceOf(v *config.Service) adminapi.Service {
	return adminapi.Service{Name: v.Name, Team: v.Team, Description: optString(v.Description)}
}

func optString(s string) adminapi.OptString {
	return adminapi.OptString{Value: s, Set: s != ""}
}

func itemOf(p config.Problem) adminapi.ProblemItem {
	i := adminapi.ProblemItem{
		Name:       optString(p.Key.Name),
		Field:      optString(p.Field),
		Reason:     p.Reason,
		Missing:    p.Missing,
		Dependents: p.Dependents,
	}
	if p.Key.Kind != "" {
		i.Kind.SetTo(adminapi.Kind(p.Key.Kind))
	}
	return i
}
