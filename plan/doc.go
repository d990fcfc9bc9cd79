// Package plan decides where the keys of an ordered key space should be: how
// ranges without an owner are divided among members, when an owner should give
// keys away, which ones and to whom. It is pure.
//
// The load that it answers is one in which some keys are far busier than others,
// busy keys lie close together and change within seconds, and upstreams differ in
// speed. A planned move interrupts its keys for a moment, so nothing is moved
// for a difference that would not be felt.
//
// # Usage
//
//	heat.Touch(point)
//	heat.Tick(now)
//	pieces := plan.Divide(unowned, heat, shares)
//	for _, move := range plan.Moves(now, self, rows, heat, members) { ... }
package plan
