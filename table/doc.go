// Package table implements the ownership table as a replicated state machine: it
// defines the records of the ownership stream, applies them deterministically in
// offset order, and encodes and restores snapshots. Of several records that
// replace the same epoch of a slot the first one wins and the later ones are
// void, so concurrent writers need no lock and all readers compute the same
// table.
//
// # Usage
//
//	t := table.New()
//	for record := range stream {
//		result := t.Apply(offset, record)
//	}
//	view := t.View()
package table
