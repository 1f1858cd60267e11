package admin

import (
	"encoding/hex"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// VersionOf returns a version in the API's shape.
func VersionOf(v config.Version) adminapi.Version {
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
		TimeoutMS:      s.TimeoutMs.Or(0),
		Attempts:       s.Attempts.Or(0),
		Keyless:        s.Keyless.Or(false),
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
			TimeoutMs:      adminapi.OptInt64{Value: t.TimeoutMS, Set: t.TimeoutMS != 0},
			Attempts:       adminapi.OptInt{Value: t.Attempts, Set: t.Attempts != 0},
			Keyless:        adminapi.OptBool{Value: t.Keyless, Set: t.Keyless},
		},
	}
}

func serviceOf(v *config.Service) adminapi.Service {
	return adminapi.Service{Name: v.Name, Team: v.Team, Description: optString(v.Description)}
}

// workspaceFrom returns the stated workspace, without name and team.
func workspaceFrom(s *adminapi.WorkspaceSpec) (config.Workspace, error) {
	w := config.Workspace{
		Priority:      s.Priority.Or(0),
		RatePerSecond: s.RatePerSecond.Or(0),
		Burst:         s.Burst.Or(0),
	}
	for _, k := range s.KeysSHA256 {
		var digest config.KeyDigest
		if err := digest.UnmarshalText([]byte(k)); err != nil {
			return w, &parameterError{"keys_sha256", "must be SHA-256 in hexadecimal"}
		}
		w.Keys = append(w.Keys, digest)
	}
	return w, nil
}

func workspaceOf(w *config.Workspace) adminapi.Workspace {
	out := adminapi.Workspace{
		Name: w.Name,
		Team: w.Team,
		Spec: adminapi.WorkspaceSpec{
			Priority:      adminapi.OptInt{Value: w.Priority, Set: w.Priority != 0},
			RatePerSecond: adminapi.OptFloat64{Value: w.RatePerSecond, Set: w.RatePerSecond != 0},
			Burst:         adminapi.OptFloat64{Value: w.Burst, Set: w.Burst != 0},
		},
	}
	for _, k := range w.Keys {
		out.Spec.KeysSHA256 = append(out.Spec.KeysSHA256, adminapi.KeyDigest(hex.EncodeToString(k[:])))
	}
	return out
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

// ChangesOf returns differences between two snapshots in the API's shape.
func ChangesOf(cs []config.Change) []adminapi.ObjectChange {
	out := make([]adminapi.ObjectChange, len(cs))
	for i, c := range cs {
		out[i] = changeOf(c)
	}
	return out
}

var actions = map[config.Op]adminapi.ObjectChangeAction{
	config.OpAdded:   adminapi.ObjectChangeActionAdded,
	config.OpChanged: adminapi.ObjectChangeActionChanged,
	config.OpRemoved: adminapi.ObjectChangeActionWithdrawn,
}

func changeOf(c config.Change) adminapi.ObjectChange {
	out := adminapi.ObjectChange{
		Kind:   adminapi.Kind(c.Key.Kind),
		Name:   c.Key.Name,
		Action: actions[c.Op],
	}
	for _, f := range c.Fields {
		out.Fields = append(out.Fields, adminapi.FieldChange{
			Field:  f.Field,
			Before: optString(f.Before),
			After:  optString(f.After),
		})
	}
	return out
}

func conflictsOf(cs []command.Conflict) []adminapi.ObjectChange {
	out := make([]adminapi.ObjectChange, len(cs))
	for i, c := range cs {
		out[i] = changeOf(c.Change)
		out[i].Version.SetTo(adminapi.VersionNumber(c.Version))
		out[i].By = optString(c.By)
		out[i].At = optTime(c.AtMS)
	}
	return out
}

func optTime(ms int64) adminapi.OptDateTime {
	return adminapi.OptDateTime{Value: time.UnixMilli(ms).UTC(), Set: ms != 0}
}

// RecordOf returns a command's record in the API's shape.
func RecordOf(id string, r command.Record) *adminapi.CommandRecord {
	out := &adminapi.CommandRecord{
		Command: id,
		Outcome: adminapi.CommandRecordOutcomeRefused,
		By:      optString(r.Operator),
		Team:    optString(r.Team),
		At:      optTime(r.Result.AtMS),
		Reason:  optString(r.Result.Detail),
	}
	if r.Result.Outcome == command.Accepted {
		out.Outcome = adminapi.CommandRecordOutcomeAccepted
		out.Version.SetTo(VersionOf(r.Result.Version))
	}
	return out
}
