package daemon

import (
	"sync"

	"github.com/monsoonmoor/monsoonmoor/core"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// evictions keeps the operators' evict orders for the next incarnations of the daemon: the
// present one may end before it can carry an order out.
type evictions struct {
	mu   sync.Mutex
	byOf map[ident.Incarnation]core.EvictOrder
}

func newEvictions() *evictions {
	return &evictions{byOf: make(map[ident.Incarnation]core.EvictOrder)}
}

func (e *evictions) keep(in core.EvictOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byOf[in.Of] = in
}

// pending returns the orders whose members the view still names, and forgets the others.
func (e *evictions) pending(view *core.View) []core.EvictOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	var orders []core.EvictOrder
	for of, in := range e.byOf {
		if _, ok := view.Member(of); ok {
			orders = append(orders, in)
		} else {
			delete(e.byOf, of)
		}
	}
	return orders
}
