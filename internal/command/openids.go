package command

import (
	lru "github.com/hashicorp/golang-lru/v2"
)

// rememberedIDs bounds the command ids that a node remembers as open.
const rememberedIDs = 1024

// openIDs remembers commands whose outcome was told as unknown.
//
// It guards against a false "refused": a command is sent, its answer is lost,
// it is sent again without Command.Repeat, and the platform can't be reached.
// The second submission had no effect, but the first may have had.
type openIDs struct{ ids *lru.Cache[string, struct{}] }

func newOpenIDs() *openIDs {
	ids, err := lru.New[string, struct{}](rememberedIDs)
	if err != nil {
		panic("command: " + err.Error()) // only for a size below one
	}
	return &openIDs{ids: ids}
}

// settle returns what may be told of cmd, given what a submission came to.
func (o *openIDs) settle(cmd Command, r Result) Result {
	passing := r.Outcome == Refused && r.Reason.Retryable()
	if passing && (cmd.Repeat || o.ids.Contains(cmd.ID)) {
		r.Outcome = Unknown
		r.Detail = "sent before with an unknown outcome; now: " + r.Detail
	}
	if r.Outcome == Unknown {
		o.ids.Add(cmd.ID, struct{}{})
	} else if !passing {
		o.ids.Remove(cmd.ID)
	}
	return r
}
