// Package policy holds the teams' settings. Each team owns a subtree: the
// services that it declares, the places they run in and how their load is
// shared. A team publishes a whole new subtree on the log, signed with its
// key and naming the revision that it was based on. Every reader applies the
// entries in offset order with the same pure function: the first entry that
// fits the subtree's revision wins, and every other one is void.
//
// The operators' root key signs which public key a team has. A team's key is
// replaced by an entry signed with the old key or the root key.
//
// Entries live on the log for a limited time only. Snapshots carry the signed
// entries that the state consists of, so a reader that boots from a snapshot
// checks the same signatures as one that read everything.
//
// # Usage
//
//	state := policy.NewState(roots)
//	for entry := range stream {
//		state, verdict = state.Apply(offset, entry)
//	}
//	service, ok := state.Service("rounds-desk")
package policy
