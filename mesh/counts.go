package mesh

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

const (
	// firstBucket, bucketGrowth and bucketCount span latencies from a quick answer
	// to the longest deadline, within a third.
	firstBucket  = 5 * time.Millisecond
	bucketGrowth = 1.5
	bucketCount  = 20
)

// counts are the node's metrics.
type counts struct {
	answered, failed, notRun, unknown tally.Counter
	latency, refusal                  tally.Histogram
	writes                            map[owner.Outcome]tally.Counter
}

func newCounts(scope tally.Scope) counts {
	buckets := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketGrowth, bucketCount)
	c := counts{
		answered: scope.Counter("mesh_answered"),
		failed:   scope.Counter("mesh_failed"),
		notRun:   scope.Counter("mesh_not_run"),
		unknown:  scope.Counter("mesh_unknown"),
		latency:  scope.Histogram("mesh_answer_seconds", buckets),
		refusal:  scope.Histogram("mesh_refusal_seconds", buckets),
		writes:   make(map[owner.Outcome]tally.Counter),
	}
	for outcome, name := range map[owner.Outcome]string{
		owner.Written: "written", owner.Lost: "lost", owner.Refused: "refused", owner.Unknown: "unknown",
	} {
		c.writes[outcome] = scope.Counter("mesh_table_" + name)
	}
	return c
}

// count takes what became of a call that a caller of this daemon made.
func (c *counts) count(took time.Duration, reply *calls.Reply, err error) {
	switch {
	case err == nil:
		if reply.Status < firstFailure {
			c.answered.Inc(1)
		} else {
			c.failed.Inc(1)
		}
		c.latency.RecordDuration(took)
	case calls.AsError(err).Outcome() == calls.NotRun:
		c.notRun.Inc(1)
		c.refusal.RecordDuration(took)
	default:
		c.unknown.Inc(1)
		c.latency.RecordDuration(took)
	}
}

// firstFailure is the lowest status that says that the upstream failed.
const firstFailure = 500
