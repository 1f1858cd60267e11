package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// parts runs what a node does in the background.
//
// It guards against a node that lives on by half: a part that ends by itself (a
// listener that is lost, a loop that returns) leaves a node that other nodes
// still take for alive and send calls to. The first such end is told on failed,
// and whoever runs the node stops it whole.
type parts struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// leaving says that parts may end from now on.
	leaving atomic.Bool
	once    sync.Once
	failed  chan struct{}
	err     error // set before failed is closed
}

var errEnded = errors.New("it ended by itself")

func newParts() *parts {
	p := &parts{failed: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// run starts a part, which has to go on until ctx ends.
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

// stop ends all parts and waits for them. Servers have to be closed before.
func (p *parts) stop() {
	p.leaving.Store(true)
	p.cancel()
	p.wg.Wait()
}
