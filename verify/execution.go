package verify

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Execution is one request that an upstream executed: one line of JSON in its
// history, written at the moment of effect.
type Execution struct {
	// Wall is the time of effect in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Mono is the time of effect in nanoseconds since the instance started, on
	// its monotonic clock.
	Mono int64      `json:"mono"`
	Host ident.Host `json:"host"`
	// Instance differs for each run of the upstream.
	Instance string        `json:"instance"`
	Service  ident.Service `json:"service"`
	Key      string        `json:"key"`
	Slot     ident.Slot    `json:"slot"`
	// Epoch is the fencing token that came with the request; zero when none did.
	Epoch       ident.Epoch `json:"epoch"`
	Request     string      `json:"request"`
	Idempotency string      `json:"idempotency,omitempty"`
	Method      string      `json:"method"`
	// Counter is the key's counter after the effect.
	Counter uint64 `json:"counter"`
	// Crash reports that the request crashed the upstream.
	Crash bool `json:"crash,omitempty"`
}

// Shard returns the shard that the request belongs to.
func (e Execution) Shard() ident.Shard {
	return ident.NewShard(e.Service, e.Slot)
}
