package mesh

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/holds"
	"github.com/monsoonmoor/monsoonmoor/owner"
)

const (
	// firstBucket, bucketGrowth and bucketCount lay out the latency histograms: they
	// cover latencies from a fast answer to the longest deadline, to within a third of
	// the value.
	firstBucket  = 5 * time.Millisecond
	bucketGrowth = 1.5
	bucketCount  = 20
)

// metrics holds the node's counters and histograms.
type metrics struct {
	answered, failed, notRun, unknown tally.Counter
	latency, refusal                  tally.Histogram
	warmup, evacuated, evacuatedRows  tally.Gauge
	bodyBytes, bodySlow, bodyRefused  tally.Gauge
	writes                            map[owner.Outcome]tally.Counter
	restores                          tally.Counter
	witnesses, answeringWitnesses     tally.Gauge
	givenUpWitnesses                  tally.Counter
	commands                          map[holds.Outcome]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketGrowth, bucketCount)
	c := metrics{
		answered: scope.Counter("mesh_answered"),
		failed:   scope.Counter("mesh_failed"),
		notRun:   scope.Counter("mesh_not_run"),
		unknown:  scope.Counter("mesh_unknown"),
		latency:  scope.Histogram("mesh_answer_seconds", buckets),
		refusal:  scope.Histogram("mesh_refusal_seconds", buckets),
		warmup:   scope.Gauge("mesh_warmup_seconds"),
		// The room that bodies take, and how many were ended or refused.
		bodyBytes:   scope.Gauge("mesh_body_bytes"),
		bodySlow:    scope.Gauge("mesh_body_slow"),
		bodyRefused: scope.Gauge("mesh_body_refused"),
		// The ranges that a daemon of an evacuated zone still owns.
		evacuatedRows: scope.Gauge("mesh_evacuated_rows"),
		// The restores of the store from a copy that this daemon has noticed.
		restores: scope.Counter("mesh_store_restores"),
		// The witnesses that the table names for this member, those of them that have
		// answered within half the length of a lease, and those that were given up.
		witnesses:          scope.Gauge("mesh_witnesses"),
		answeringWitnesses: scope.Gauge("mesh_witnesses_answering"),
		givenUpWitnesses:   scope.Counter("mesh_witnesses_given_up"),
		evacuated:          scope.Gauge("mesh_evacuated_zones"),
		writes:             make(map[owner.Outcome]tally.Counter),
		commands:           make(map[holds.Outcome]tally.Counter),
	}
	for outcome, name := range map[owner.Outcome]string{
		owner.Written: "written", owner.Lost: "lost", owner.Refused: "refused", owner.Unknown: "unknown",
	} {
		c.writes[outcome] = scope.Counter("mesh_table_" + name)
	}
	for _, outcome := range []holds.Outcome{holds.Accepted, holds.Refused, holds.Unanswered, holds.Unsent} {
		c.commands[outcome] = scope.Counter("mesh_command_" + outcome.String())
	}
	return c
}

// recordCall counts a call from a caller of this daemon by its outcome and records its
// latency.
func (c *metrics) recordCall(took time.Duration, reply *calls.Reply, err error) {
	switch {
	case err == nil:
		if reply.Status < minFailureStatus {
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

// minFailureStatus is the lowest HTTP status that counts as a failure of the upstream.
const minFailureStatus = 500

// recordWitnesses records how many witnesses a member has, how many of them answer, and how
// many were given up.
func (c *metrics) recordWitnesses(now time.Time, m *owner.Machine) {
	named, answering := m.Witnesses(now)
	c.witnesses.Update(float64(named))
	c.answeringWitnesses.Update(float64(answering))
	c.givenUpWitnesses.Inc(int64(m.TakeGivenUp()))
}
