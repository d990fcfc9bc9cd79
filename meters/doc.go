// Package meters keeps the metrics of one daemon in memory and renders them
// in the Prometheus text format. Other packages report through tally.Scope and do
// not depend on this package.
//
// # Usage
//
//	registry := meters.New(meters.WithPrefix("moor"))
//	defer registry.Close()
//	registry.Scope().Counter("calls").Inc(1)
//	err := registry.WriteText(w)
package meters
