// Package hotkey detects the keys that receive a large share of a slot's
// requests, and proposes which of them should be pinned, that is moved to a slot
// of their own. Each slot has a fixed number of counters, maintained by the
// space-saving algorithm: a hot key always has a counter, however many other
// keys are requested. Counts decay exponentially, so that rates follow the load.
//
// # Usage
//
//	tracker := hotkey.New(4096)
//	tracker.Record(slot, hash)
//	tracker.EndInterval(now)
//	for slot, rate := range tracker.Rates() {
//		rates = append(rates, spread.Rate{Slot: slot, PerSecond: rate})
//	}
//	for _, pin := range tracker.ProposePins(room) {
//		order(core.PinOrder{Service: service, Hash: pin.Hash()})
//	}
package hotkey
