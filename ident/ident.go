// Package ident holds the identifiers that every other package shares: hosts,
// places, services, incarnations, slots, epochs and record ids, and the
// mapping from a key to its slot.
//
// # Usage
//
//	slot := ident.SlotOf("round-17", ident.DefaultSlots)
//	shard := ident.Shard{Service: "rounds-desk", Slot: slot}
package ident

import (
	"github.com/cespare/xxhash/v2"
)

// DefaultSlots is the number of slots of a service that sets none of its own.
// It is a power of two.
const DefaultSlots = 4096

// Host names one upstream host, as given in its daemon's settings.
type Host string

// Place names an availability zone.
type Place string

// Region names a group of places.
type Region string

// Service names a set of upstreams that share keys.
type Service string

// Slot is the number of a hash slot within one service. Numbers from the
// service's slot count upwards belong to pinned keys.
type Slot uint32

// Epoch counts the changes of owner or successors of one slot. It is the
// fencing token of grants; zero means that the slot was never owned.
type Epoch uint64

// Seq numbers the records that an owner announces to its witnesses before it
// appends them.
type Seq uint64

// HashKey returns the 64-bit hash by which a key is placed.
func HashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}

// SlotOf returns the slot of a key among slots hash slots. Slots must be a
// power of two.
func SlotOf(key string, slots uint32) Slot {
	return SlotOfHash(HashKey(key), slots)
}

// SlotOfHash returns the slot of a hashed key among slots hash slots. Slots
// must be a power of two.
func SlotOfHash(hash uint64, slots uint32) Slot {
	return Slot(hash & uint64(slots-1))
}
