package peers

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Stats holds the traffic of a transport since it was opened.
type Stats struct {
	// ControlOut and ControlIn count control frames, probes and framing included.
	ControlOut, ControlIn Traffic
	// WireOut and WireIn count the UDP payload of all connections, calls included.
	WireOut, WireIn Traffic
	// Conns is the number of open connections.
	Conns int
}

// Traffic is a number of messages or packets and their total size in bytes.
type Traffic struct {
	Count, Bytes uint64
}

// meter counts Traffic both for Stats and for the metrics.
type meter struct {
	count, bytes             atomic.Uint64
	countMetric, bytesMetric tally.Counter
}

func newMeter(scope tally.Scope, name string) *meter {
	return &meter{
		countMetric: scope.Counter(name + "_messages"),
		bytesMetric: scope.Counter(name + "_bytes"),
	}
}

func (m *meter) add(bytes int) {
	m.count.Add(1)
	m.bytes.Add(uint64(bytes))
	m.countMetric.Inc(1)
	m.bytesMetric.Inc(int64(bytes))
}

func (m *meter) volume() Traffic {
	return Traffic{Count: m.count.Load(), Bytes: m.bytes.Load()}
}

// metrics holds the counters of a transport.
type metrics struct {
	controlOut, controlIn *meter
	// dropped counts control messages that were dropped before they were sent.
	dropped tally.Counter
	// refused counts received control messages that name another host than the peer as
	// sender, or are addressed to another incarnation.
	refused tally.Counter
	dials   tally.Counter
	failed  tally.Counter
	silent  tally.Counter
	conns   tally.Gauge
	// forwarded counts calls sent to peers, served counts calls run for peers.
	forwarded, served tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		controlOut: newMeter(scope, "control_out"),
		controlIn:  newMeter(scope, "control_in"),
		dropped:    scope.Counter("control_dropped"),
		refused:    scope.Counter("control_refused"),
		dials:      scope.Counter("dials"),
		failed:     scope.Counter("dials_failed"),
		silent:     scope.Counter("connections_silent"),
		conns:      scope.Gauge("connections"),
		forwarded:  scope.Counter("calls_forwarded"),
		served:     scope.Counter("calls_served"),
	}
}
