// Package evac tracks which availability zones the operator has evacuated. The
// operator's records are the only authority: each has the offset at which the store
// keeps it, and of two records for a zone the one with the higher offset holds. Daemons
// read the records in the store and pass them to each other as a document, so that a
// daemon that the store rejects learns of them as well.
//
// State does no input or output and is not safe for concurrent use.
//
// # Usage
//
//	state := evac.New()
//	state.Apply(evac.Record{Zone: "dallas", Offset: 7, Active: true})
//	if state.Has("dallas") {
//		// nothing new may be sent to the upstreams of the zone
//	}
//	data, err := state.Encode() // for another daemon, which passes it to Merge
package evac
