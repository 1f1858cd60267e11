package node

import (
	"context"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/proxy"
)

// Guards against gates that order nested calls by priority without workspaces, or don't with them.
func TestGatesOrderByPriorityWithWorkspaces(t *testing.T) {
	s, err := config.New(1, config.Hash{}, []config.Object{config.EncodeWorkspace(config.Workspace{
		Name: "harbour", Team: "yard", Keys: []config.KeyDigest{config.DigestOf("k")},
	})})
	if err != nil {
		t.Fatal(err)
	}
	classes := map[string][]limit.Class{"s": {{Name: "nested"}, {Name: "urgent", Priority: 8}}}
	for want, keys := range map[string]*config.Keyring{"nested": nil, "urgent": s.Keyring()} {
		g := newGates()
		b := announce.Backend{Announcement: announce.Announcement{Instance: "i-1", Service: "s", Slots: 1}}
		g.update(time.Now(), []announce.Backend{b}, &program{Program: proxy.Program{Keys: keys}, limits: classes}, func(string) int { return 1 })
		acquire := func(class string, o limit.AcquireOptions) proxy.Permit {
			p, err := g.Acquire(context.Background(), backendOf(b), &config.Target{Name: class, Service: "s"}, o)
			if err != nil {
				t.Error(err)
			}
			return p
		}
		running := acquire("urgent", limit.AcquireOptions{})
		started := make(chan string, 2)
		wait := func(waiting int, class string, o limit.AcquireOptions) {
			go func() {
				p := acquire(class, o)
				started <- class
				p.Release(limit.Result{})
			}()
			for (*g.byInstance.Load())["i-1"].Waiting() < waiting {
				time.Sleep(time.Millisecond)
			}
		}
		wait(1, "nested", limit.AcquireOptions{OneShot: true, Caller: limit.Caller{Priority: 2}})
		wait(2, "urgent", limit.AcquireOptions{})
		running.Release(limit.Result{})
		if got := <-started; got != want {
			t.Errorf("with workspaces %v: %q started first", keys != nil, got)
		}
		<-started
	}
}
