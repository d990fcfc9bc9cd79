package events

import "github.com/monsoonmoor/monsoonmoor/ident"

// Batch is the reply of one daemon to a query of its recorded events.
type Batch struct {
	Host ident.Host `json:"host"`
	// First is the sequence number from which events were requested. Next is the
	// sequence number that the daemon assigns to its next event, from which a
	// reader continues.
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	// Lost is the number of requested events that the daemon has overwritten
	// since.
	Lost   uint64  `json:"lost,omitempty"`
	Events []Event `json:"events"`
}
