// Package plan computes the placement of the keys of an ordered key space: how ranges
// without an owner are divided among members, and when an owner should move keys, which
// ones and to which members. It does no I/O.
//
// It is made for a load in which a few keys are much busier than the others, busy keys
// are neighbours and change within seconds, and upstreams differ in speed. Calls for
// keys that are moved are interrupted for a moment, so keys are moved only for an
// imbalance that affects callers.
//
// # Usage
//
//	heat.Touch(point)
//	heat.Tick(now)
//	assignments := plan.Divide(unowned, heat, shares)
//	for _, move := range plan.Moves(self, rows, heat, members) { ... }
package plan
