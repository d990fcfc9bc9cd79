// Package model runs several machines of package core against a log, a
// network and clocks in memory, with faults, and checks after every step that
// ownership holds.
//
// # Usage
//
//	w := model.New(model.Config{Hosts: 5, Slots: 2, Seed: 1})
//	w.Run(10 * time.Second)
//	err := w.Err()
package model
