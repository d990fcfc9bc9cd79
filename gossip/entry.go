package gossip

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Condition is the availability of a daemon's upstream.
type Condition uint8

// The conditions.
const (
	// Absent means that the upstream has not announced itself or is lost.
	Absent Condition = iota
	// Ready means that the upstream accepts calls.
	Ready
	// Draining means that the upstream is leaving and accepts no new calls.
	Draining
	// Stopping means that the daemon is stopping while its upstream continues to run.
	Stopping
)

// String returns the condition as it appears in logs.
func (c Condition) String() string {
	switch c {
	case Absent:
		return "absent"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Stopping:
		return "stopping"
	}
	return "invalid"
}

// Load is the load of an upstream.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Offered is the arrival rate of calls for the upstream, including refused ones, in calls per second.
	Offered float32
	// Capacity is the rate that the upstream can serve, in calls per second.
	Capacity float32
	// Wait is the expected queueing time of a new call, in milliseconds.
	Wait uint32
	// Cold is the remaining warm-up time of the upstream, during which it is slow, in milliseconds.
	Cold uint32
}

// Version is the version of a topic that a daemon has read.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Number uint64
}

// Entry describes one daemon and its upstream.
type Entry struct {
	_   struct{} `cbor:",toarray"`
	Inc ident.Incarnation
	// Beat is the daemon's heartbeat counter. It rises while the daemon is alive.
	Beat uint64
	// Addr is the address at which other daemons reach this one, for both streams and datagrams.
	Addr      string
	Zone      ident.Place
	Service   ident.Service
	Condition Condition
	// Slots is the number of calls that the upstream runs concurrently.
	Slots    uint16
	Load     Load
	Versions []Version
}

// Version returns the number of the version of a topic that the daemon has read, or 0 if it has read none.
func (e Entry) Version(name string) uint64 {
	i := slices.IndexFunc(e.Versions, func(v Version) bool { return v.Name == name })
	if i < 0 {
		return 0
	}
	return e.Versions[i].Number
}

// supersedes reports whether e is newer than o, an entry of the same host: it is of a later run of the daemon, or of
// the same run with a higher heartbeat counter.
func (e Entry) supersedes(o Entry) bool {
	if e.Inc.Boot != o.Inc.Boot {
		return e.Inc.Boot > o.Inc.Boot
	}
	return e.Beat > o.Beat
}
