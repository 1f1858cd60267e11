package node

import (
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// changeShape returns a change of an object as the admin API shows it.
func changeShape(c config.Change) adminapi.ObjectChange {
	out := adminapi.ObjectChange{
		Kind:   adminapi.Kind(c.Key.Kind),
		Name:   c.Key.Name,
		Action: actionOf(c.Op),
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

func actionOf(op config.Op) adminapi.ObjectChangeAction {
	switch op {
	case config.OpAdded:
		return adminapi.ObjectChangeActionAdded
	case config.OpRemoved:
		return adminapi.ObjectChangeActionWithdrawn
	}
	return adminapi.ObjectChangeActionChanged
}

func optString(s string) adminapi.OptString {
	return adminapi.OptString{Value: s, Set: s != ""}
}
