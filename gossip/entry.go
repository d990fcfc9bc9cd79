package gossip

import (
	"slices"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Condition is the state of a daemon's upstream.
type Condition uint8

// Conditions.
const (
	// Absent means that the upstream has not announced itself or is lost.
	Absent Condition = iota
	// Ready means that the upstream takes calls.
	Ready
	// Draining means that the upstream leaves and takes no new calls.
	Draining
	// Stopping means that the daemon itself ends and its upstream stays.
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

// Load is how busy an upstream is.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Offered is the rate of calls that arrive for the upstream, those refused
	// included, per second.
	Offered float32
	// Capacity is the rate of calls that the upstream can serve, per second.
	Capacity float32
	// Wait is how long a new call would wait, in milliseconds.
	Wait uint32
	// Cold is how much longer the upstream is slow after its start, in
	// milliseconds.
	Cold uint32
}

// Version is what a daemon has read of a topic.
type Version struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Number uint64
}

// Entry is what is known of one daemon.
type Entry struct {
	_   struct{} `cbor:",toarray"`
	Inc ident.Incarnation
	// Beat rises while the daemon lives.
	Beat uint64
	// Addr is the address for other daemons, for streams and datagrams alike.
	Addr      string
	Zone      ident.Place
	Service   ident.Service
	Condition Condition
	// Slots is the number of calls that the upstream runs at once.
	Slots    uint16
	Load     Load
	Versions []Version
}

// Version returns the number that the daemon has read of a topic; 0 for none.
func (e Entry) Version(name string) uint64 {
	i := slices.IndexFunc(e.Versions, func(v Version) bool { return v.Name == name })
	if i < 0 {
		return 0
	}
	return e.Versions[i].Number
}

// newer reports whether e replaces o, which is about the same host.
func (e Entry) newer(o Entry) bool {
	if e.Inc.Boot != o.Inc.Boot {
		return e.Inc.Boot > o.Inc.Boot
	}
	return e.Beat > o.Beat
}
