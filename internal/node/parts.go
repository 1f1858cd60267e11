package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// parts runs the background work of a node.
//
// When a part ends unexpectedly (a listener is lost, a loop returns), other nodes would still see
// the node as alive and send it calls. The first such end is therefore reported on failed, and the
// owner of the node shuts it down.
type parts struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// leaving is set before a stop; parts may end from then on.
	leaving atomic.Bool
	once    sync.Once
	failed  chan struct{}
	err     error // set before failed is closed
}

var errEnded = errors.New("it ended unexpectedly")

func newParts() *parts {
	p := &parts{failed: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// run starts a part, which must run until ctx is done.
func (p *parts) run(name string, f func(ctx context.Context) error) {
	p.wg.Go(func() {
		err := f(p.ctx)
		if !p.leaving.Load() {
			p.fail(name, err)
		}
	})
}

func (p *parts) fail(name string, err error) {
	p.once.Do(func() {
		if err == nil {
			err = errEnded
		}
		p.err = fmt.Errorf("node: part %s failed: %w", name, err)
		close(p.failed)
	})
}

// stop ends all parts and waits for them. Servers must be closed first.
func (p *parts) stop() {
	p.leaving.Store(true)
	p.cancel()
	p.wg.Wait()
}
