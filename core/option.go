package core

import (
	"github.com/monsoonmoor/monsoonmoor/table"
)

// Option configures a Machine.
type Option func(*Machine)

// WithTimings sets the intervals and limits. The default is DefaultTimings.
// All members must use the same Lease and Drift.
func WithTimings(t Timings) Option {
	return func(m *Machine) { m.timings = t }
}

// WithSeed sets the seed of the machine's random choices, which spread duties
// over time. By default the seed is derived from the incarnation.
func WithSeed(seed uint64) Option {
	return func(m *Machine) { m.seed = seed }
}

// WithEvents sets whether the machine reports events as Emit actions. The
// default is true.
func WithEvents(on bool) Option {
	return func(m *Machine) { m.events = on }
}

// WithRouteTable sets a table that a peer has exported. Until the machine has
// a table from the stream, its view looks keys up in the exported one and
// serves none of them. Chunks that do not form a whole table are ignored.
func WithRouteTable(chunks []table.Chunk) Option {
	return func(m *Machine) {
		if t, err := table.Restore(chunks); err == nil {
			m.routeTable = t.View()
		}
	}
}
