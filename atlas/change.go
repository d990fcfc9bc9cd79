package atlas

import (
	"slices"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Change builds the next version of a table.
type Change struct {
	table   *Table
	changed bool
}

// Fence returns the lowest fencing token of the new version.
func (c *Change) Fence() Fence { return FenceAfter(c.table.version - 1) }

// Changed reports whether the new version differs from the previous one.
func (c *Change) Changed() bool { return c.changed }

// Join adds a member. If the host has a member already, the new one replaces it
// and keeps its ranges.
func (c *Change) Join(m Member) {
	c.changed = true
	if i := c.table.memberIndex(m.Inc.Host); i >= 0 {
		c.table.doc.Members[i] = m
		return
	}
	at, _ := slices.BinarySearchFunc(c.table.doc.Members, m.Inc.Host, func(m Member, host ident.Host) int {
		return strings.Compare(string(m.Inc.Host), string(host))
	})
	c.table.doc.Members = slices.Insert(c.table.doc.Members, at, m)
	for i := range c.table.doc.Rows {
		if c.table.doc.Rows[i].Owner >= at {
			c.table.doc.Rows[i].Owner++
		}
	}
}

// Drop removes the member on a host. Its ranges have no owner afterwards.
func (c *Change) Drop(host ident.Host) {
	i := c.table.memberIndex(host)
	if i < 0 {
		return
	}
	c.changed = true
	c.table.doc.Members = slices.Delete(c.table.doc.Members, i, i+1)
	rows := c.table.doc.Rows[:0]
	for _, r := range c.table.doc.Rows {
		if r.Owner == i {
			continue
		}
		if r.Owner > i {
			r.Owner--
		}
		rows = append(rows, r)
	}
	c.table.doc.Rows = rows
}

// Assign makes the member on a host the owner of a range, under a new fencing
// token. The parameter token is the handover token of the previous holder, rate
// the load of the range in calls per second. Assign returns false, and changes
// nothing, if the host has no member or the range is invalid.
func (c *Change) Assign(span Span, host ident.Host, token string, rate float64) bool {
	return c.assign(span, host, c.Fence(), token, rate)
}

// Adopt makes the member on a host the owner of a range under a fencing token that its
// upstream has already. Otherwise it is like Assign.
func (c *Change) Adopt(span Span, host ident.Host, fence Fence, rate float64) bool {
	return c.assign(span, host, fence, "", rate)
}

func (c *Change) assign(span Span, host ident.Host, fence Fence, token string, rate float64) bool {
	owner := c.table.memberIndex(host)
	if owner < 0 || !span.isValid() {
		return false
	}
	c.Release(span)
	c.changed = true
	row := Row{Span: span, Owner: owner, Fence: fence, Token: token, Rate: float32(rate)}
	at, _ := slices.BinarySearchFunc(c.table.doc.Rows, span.From, func(r Row, p Point) int {
		return int(r.Span.From) - int(p)
	})
	c.table.doc.Rows = slices.Insert(c.table.doc.Rows, at, row)
	c.mergeRows()
	return true
}

// Release removes a range from its owners, so that it has none. Rows that it
// covers in part keep the rest, with their rate reduced in proportion.
func (c *Change) Release(span Span) {
	var rows []Row
	for _, r := range c.table.doc.Rows {
		if !r.Span.Overlaps(span) {
			rows = append(rows, r)
			continue
		}
		c.changed = true
		for _, rest := range Subtract([]Span{r.Span}, []Span{span}) {
			remainder := r
			remainder.Span = rest
			remainder.Rate = r.Rate * float32(rest.Size()) / float32(r.Span.Size())
			rows = append(rows, remainder)
		}
	}
	c.table.doc.Rows = rows
}

// mergeRows merges adjacent rows with the same owner, fencing token and
// handover token. Their rates are added.
func (c *Change) mergeRows() {
	rows := c.table.doc.Rows[:0]
	for _, r := range c.table.doc.Rows {
		if n := len(rows); n > 0 && rows[n-1].Span.To+1 == r.Span.From && rows[n-1].Owner == r.Owner &&
			rows[n-1].Fence == r.Fence && rows[n-1].Token == r.Token {
			rows[n-1].Span.To = r.Span.To
			rows[n-1].Rate += r.Rate
			continue
		}
		rows = append(rows, r)
	}
	c.table.doc.Rows = rows
}

// RenewFences gives all ranges of a host a new fencing token and clears their
// handover tokens. It is used when the host's upstream has restarted: nothing
// was handed over to the new run.
func (c *Change) RenewFences(host ident.Host) {
	i := c.table.memberIndex(host)
	for k := range c.table.doc.Rows {
		if c.table.doc.Rows[k].Owner == i {
			c.changed = true
			c.table.doc.Rows[k].Fence = c.Fence()
			c.table.doc.Rows[k].Token = ""
		}
	}
	c.mergeRows()
}

// EndRecovery removes the mark of Recovering from the new version.
func (c *Change) EndRecovery() { c.changed, c.table.recovering = true, false }

// RowsOf returns the ranges of a host, including the changes made so far.
func (c *Change) RowsOf(host ident.Host) []Row { return c.table.RowsOf(host) }

// Finish sets the writer and its number for this write, and returns the new
// version of the table.
func (c *Change) Finish(writer ident.Incarnation, number uint64) *Table {
	c.table.doc.Writer, c.table.doc.Number = writer, number
	return c.table
}
