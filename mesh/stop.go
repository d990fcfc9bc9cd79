package mesh

import (
	"context"
	"fmt"
	"time"
)

// stopPoll is the time between two looks at whether the node can end.
const stopPoll = 25 * time.Millisecond

// Stop makes the node give its keys away and tells others that it ends. It
// returns when the node owns nothing, or with an error when ctx ends first.
func (n *Node) Stop(ctx context.Context) error {
	n.ready.Store(false)
	n.mu.Lock()
	n.stopping = true
	if n.machine != nil {
		n.machine.Stop(n.clock.Now())
	}
	n.mu.Unlock()
	n.log.Info("stopping")
	n.shout()
	n.kick()
	for !n.hasLeft() {
		timer := n.clock.NewTimer(stopPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("give keys away: %w", ctx.Err())
		case <-timer.Chan():
		}
	}
	return nil
}

func (n *Node) hasLeft() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine == nil || n.machine.Left() || !n.machine.Known()
}

// Idle reports whether no call is at the upstream or waits for it.
func (n *Node) Idle() bool {
	running, waiting, _ := n.gate.State()
	return running == 0 && waiting == 0
}
