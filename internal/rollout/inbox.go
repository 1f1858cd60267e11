package rollout

import (
	"maps"
	"sync"
)

// Inbox holds the newest order received for each service. It is safe for concurrent use.
type Inbox struct {
	mu      sync.Mutex
	orders  map[string]Order
	changed chan struct{}
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox {
	return &Inbox{orders: make(map[string]Order), changed: make(chan struct{}, 1)}
}

// Put adds an order, unless a later one for its service is known.
func (i *Inbox) Put(o Order) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if o.Revision <= i.orders[o.Service].Revision {
		return
	}
	i.orders[o.Service] = o
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that holds an element after an order was added.
func (i *Inbox) Changed() <-chan struct{} { return i.changed }

// All returns the newest order for each service.
func (i *Inbox) All() map[string]Order {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.orders)
}
