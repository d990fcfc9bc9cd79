package mesh

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/quota"
)

const (
	// bodyShare is the part of the process's memory that the bodies of requests may take,
	// and maxBodyShare the part that they may take so that one of the largest size that
	// the configuration allows still has room. The rest is for the state of the daemon,
	// for connections and for the collector.
	bodyShare    = 0.3
	maxBodyShare = 0.5
	// bodyReportInterval is the time between two updates of the metrics.
	bodyReportInterval = time.Second
	// bodyMargin is the room kept for the largest body, in proportion to it, so that
	// other callers have room beside it.
	bodyMargin = 1.25
)

// Bodies returns the account of the memory that the bodies of requests take.
func (n *Node) Bodies() *quota.Account { return n.bodies }

// bodyCapacity returns the room for the bodies of requests, in bytes; 0 for no bound.
func (n *Node) bodyCapacity() int64 {
	memory := float64(n.settings.MemoryBytes)
	largest := bodyMargin * float64(n.Plan().Limits().BodyBytes)
	return int64(max(bodyShare*memory, min(largest, maxBodyShare*memory)))
}

// reportBodies updates the metrics of the account.
func (n *Node) reportBodies() {
	used, slow, refused := n.bodies.Stats()
	n.metrics.bodyBytes.Update(float64(used))
	n.metrics.bodySlow.Update(float64(slow))
	n.metrics.bodyRefused.Update(float64(refused))
}
