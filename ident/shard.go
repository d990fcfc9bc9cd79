package ident

import "fmt"

// Shard is one slot of one service: the unit of ownership.
type Shard struct {
	_       struct{} `cbor:",toarray"`
	Service Service
	Slot    Slot
}

// NewShard returns the shard of a slot of a service.
func NewShard(service Service, slot Slot) Shard {
	return Shard{Service: service, Slot: slot}
}

// String returns "service/slot".
func (s Shard) String() string {
	return fmt.Sprintf("%s/%d", s.Service, s.Slot)
}
