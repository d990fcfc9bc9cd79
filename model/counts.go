package model

import "github.com/monsoonmoor/monsoonmoor/table"

// Counts is what a world's members did.
type Counts struct {
	Steps, Messages, Appends  int
	MessageBytes, AppendBytes int
	// Provisional counts takeovers that were acted on, Takeovers those that
	// landed on the log.
	Provisional, Takeovers int
	Claims, Moves, Renewed int
	Replaced, Fences       int
	Snapshots, Halts       int
}

// Plus returns the sum of two counts.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Steps: c.Steps + o.Steps, Messages: c.Messages + o.Messages, Appends: c.Appends + o.Appends,
		MessageBytes: c.MessageBytes + o.MessageBytes, AppendBytes: c.AppendBytes + o.AppendBytes,
		Provisional: c.Provisional + o.Provisional, Takeovers: c.Takeovers + o.Takeovers,
		Claims: c.Claims + o.Claims, Moves: c.Moves + o.Moves, Renewed: c.Renewed + o.Renewed,
		Replaced: c.Replaced + o.Replaced, Fences: c.Fences + o.Fences,
		Snapshots: c.Snapshots + o.Snapshots, Halts: c.Halts + o.Halts,
	}
}

// record counts a record that changed the table.
func (c *Counts) record(rec *table.Record) {
	switch rec.Kind {
	case table.KindTakeover:
		c.Takeovers++
	case table.KindClaim:
		c.Claims++
	case table.KindMove:
		c.Moves++
	case table.KindSuccessors:
		c.Renewed++
	case table.KindWitnesses:
		if rec.Seq > 0 {
			c.Replaced++
		}
	case table.KindLeave:
		if rec.Removal.Inc != rec.ID.By {
			c.Fences++
		}
	case table.KindSnapshot:
		if rec.Chunk.Index == 0 {
			c.Snapshots++
		}
	default:
	}
}
