package capacity

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marlpass/marlpass/internal/gen/announceapi"
	"github.com/marlpass/marlpass/internal/localmesh"
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

const announceWidth = 8 // announcements under way

func announceAll(list []announced) (*announcer, error) {
	ctx, stop := context.WithCancel(context.Background())
	a := &announcer{stop: stop}
	var clients []*announceapi.Client
	for _, b := range list {
		c, err := announceapi.NewClient("http://" + b.vm.Node().Addrs().Announce + "/v1")
		if err != nil {
			stop()
			return nil, err
		}
		clients = append(clients, c)
	}
	all := func() error {
		var g errgroup.Group
		g.SetLimit(announceWidth)
		for i, b := range list {
			g.Go(func() error {
				_, err := clients[i].PutBackend(ctx, &announceapi.Announcement{
					Service: announceapi.Name(b.service), Address: b.address, Slots: slots, State: announceapi.StateReady,
				}, announceapi.PutBackendParams{Instance: instance})
				return err
			})
		}
		return g.Wait()
	}
	if err := all(); err != nil {
		stop()
		return nil, err
	}
	a.wg.Go(func() {
		ticker := time.NewTicker(renewEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = all() // a lost renewal is made good by the next
			}
		}
	})
	return a, nil
}

func (a *announcer) close() {
	a.stop()
	a.wg.Wait()
}
