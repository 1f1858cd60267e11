package capacity

import (
	"context"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/gen/announceapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/wait"
)

// renewEvery is how often a backend server renews its announcement.
const renewEvery = time.Second

// announced is one backend server that is only announced, or served elsewhere
// in this process.
type announced struct {
	vm      *localmesh.VM
	service string
	address string
}

// announcer keeps backend servers announced. The stand-in program looks for
// changes of its state a hundred times a second, which would outweigh what the
// node beside it spends; this only renews.
type announcer struct {
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// firstEvery is the time between two first announcements. Each is pushed through
// the whole mesh over connections that are not open yet, and all ends of them
// are in this process, whose open files are limited.
const firstEvery = 40 * time.Millisecond

func announceAll(list []announced) (*announcer, error) {
	ctx, stop := context.WithCancel(context.Background())
	a := &announcer{stop: stop}
	for i, b := range list {
		c, err := announceapi.NewClient("http://" + b.vm.Node().Addrs().Announce + "/v1")
		if err != nil {
			a.close()
			return nil, err
		}
		a.wg.Go(func() {
			if wait.For(ctx, time.Duration(i)*firstEvery) == nil {
				b.renew(ctx, c)
			}
		})
	}
	return a, nil
}

// renew announces the backend server until ctx ends. A lost renewal is made good
// by the next.
func (b announced) renew(ctx context.Context, c *announceapi.Client) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		_, _ = c.PutBackend(ctx, &announceapi.Announcement{
			Service: announceapi.Name(b.service), Address: b.address, Slots: slots, State: announceapi.StateReady,
		}, announceapi.PutBackendParams{Instance: instance})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *announcer) close() {
	a.stop()
	a.wg.Wait()
}
