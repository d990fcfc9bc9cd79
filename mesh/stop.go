package mesh

import (
	"context"
	"fmt"
	"time"
)

// stopPollInterval is the time between two checks whether the node has released its
// keys.
const stopPollInterval = 25 * time.Millisecond

// Stop makes the node hand over its keys and informs other daemons that it is stopping.
// It returns when the node owns no keys, or with an error when ctx ends first.
func (n *Node) Stop(ctx context.Context) error {
	n.ready.Store(false)
	n.mu.Lock()
	n.stopping = true
	if n.machine != nil {
		n.machine.Stop(n.clock.Now())
	}
	n.mu.Unlock()
	n.log.Info("stopping")
	n.broadcastState()
	n.requestReconcile()
	for !n.hasReleasedKeys() {
		timer := n.clock.NewTimer(stopPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("hand over keys: %w", ctx.Err())
		case <-timer.Chan():
		}
	}
	return nil
}

// hasReleasedKeys reports whether the node owns no keys, as far as it has read the
// ownership table.
func (n *Node) hasReleasedKeys() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine == nil || n.machine.Left() || !n.machine.Known()
}

// Idle reports whether no call runs at the upstream or waits for it.
func (n *Node) Idle() bool {
	running, waiting, _ := n.gate.State()
	return running == 0 && waiting == 0
}
