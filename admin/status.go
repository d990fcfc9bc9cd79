package admin

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Status is what one daemon says of itself and of the table it reads.
type Status struct {
	Self   ident.Incarnation `json:"self"`
	Place  ident.Place       `json:"place"`
	Region ident.Region      `json:"region"`
	// Now is the daemon's wall clock.
	Now time.Time `json:"now"`
	// Lease is the time left on the daemon's lease; zero when it has none.
	Lease Duration `json:"lease"`
	// Witnesses grant the lease.
	Witnesses []ident.Incarnation `json:"witnesses"`
	Draining  bool                `json:"draining"`
	Upstream  Upstream            `json:"upstream"`
	Load      Load                `json:"load"`
	Log       Log                 `json:"log"`
	Settings  Settings            `json:"settings"`
	Members   []Member            `json:"members"`
	Services  []Service           `json:"services"`
	// Quarantined is the number of request fingerprints refused.
	Quarantined int `json:"quarantined"`
}

// Upstream is the state of the upstream beside the daemon.
type Upstream struct {
	Up     bool          `json:"up"`
	Cold   bool          `json:"cold,omitempty"`
	Checks bool          `json:"checks"`
	Slots  uint32        `json:"slots"`
	URL    string        `json:"url,omitempty"`
	Name   ident.Service `json:"service,omitempty"`
}

// Load is what the daemon measures of its own upstream.
type Load struct {
	Busy   float64 `json:"busy"`
	Queued float64 `json:"queued"`
	Limit  float64 `json:"limit"`
	// Rate is in requests per second.
	Rate  float64 `json:"rate"`
	Owned uint32  `json:"owned"`
}

// Log is the state of the daemon's reader of the platform's log.
type Log struct {
	Up bool `json:"up"`
	// Offset is that of the next record of the ownership stream.
	Offset uint64 `json:"offset"`
	// Age is the time since the log last came up or went down.
	Age Duration `json:"age"`
	// Pending is the number of records that wait to be appended.
	Pending int `json:"pending"`
}

// Settings is the state of the accepted settings.
type Settings struct {
	// Revision is the newest revision of each subtree.
	Revisions map[string]uint64 `json:"revisions"`
	// Age is the time since the newest change came into force.
	Age Duration `json:"age"`
}

// Member is one member as the daemon's table has it.
type Member struct {
	Inc     ident.Incarnation `json:"inc"`
	Place   ident.Place       `json:"place"`
	Region  ident.Region      `json:"region"`
	Service ident.Service     `json:"service"`
	Peer    string            `json:"peer"`
	Admin   string            `json:"admin"`
	// Age is the time since the daemon last heard the member; negative when
	// it has not.
	Age    Duration `json:"age"`
	Fenced bool     `json:"fenced,omitempty"`
}

// Service is a service and who owns its slots.
type Service struct {
	Name ident.Service `json:"name"`
	// Slots is the number of hash slots, Pins that of pinned keys.
	Slots   uint32  `json:"slots"`
	Pins    int     `json:"pins"`
	Unowned uint32  `json:"unowned"`
	Owners  []Owner `json:"owners"`
}

// Owner is one member's part of a service.
type Owner struct {
	Inc    ident.Incarnation `json:"inc"`
	Count  uint32            `json:"count"`
	Ranges []Range           `json:"ranges"`
}

// Range is a run of slots, both ends included.
type Range struct {
	First ident.Slot `json:"first"`
	Last  ident.Slot `json:"last"`
}

// Owner returns the member that owns a slot; the zero incarnation when nobody
// does. It reports false for a service that the daemon does not know.
func (s *Status) Owner(shard ident.Shard) (ident.Incarnation, bool) {
	for _, service := range s.Services {
		if service.Name != shard.Service {
			continue
		}
		for _, owner := range service.Owners {
			for _, r := range owner.Ranges {
				if r.First <= shard.Slot && shard.Slot <= r.Last {
					return owner.Inc, true
				}
			}
		}
		return ident.Incarnation{}, true
	}
	return ident.Incarnation{}, false
}

// Quarantine is a request fingerprint that the daemon refuses or suspects.
type Quarantine struct {
	Service     ident.Service `json:"service"`
	Fingerprint string        `json:"fingerprint"`
	Crashes     int           `json:"crashes"`
	Refused     bool          `json:"refused"`
	Left        Duration      `json:"left"`
}
