package atlas

import (
	"slices"
	"strings"

	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Change collects the changes of one new version.
type Change struct {
	table   *Table
	changed bool
}

// Fence returns the lowest fencing token of the new version.
func (c *Change) Fence() Fence { return FenceAfter(c.table.version - 1) }

// Changed reports whether anything differs from the version before.
func (c *Change) Changed() bool { return c.changed }

// Join adds a member, or puts it in place of the one on the same host, which
// keeps its ranges.
func (c *Change) Join(m Member) {
	c.changed = true
	if i := c.table.index(m.Inc.Host); i >= 0 {
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

// Drop removes the member on a host. Its ranges are then without owner.
func (c *Change) Drop(host ident.Host) {
	i := c.table.index(host)
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

// Assign gives a range to the member on a host under a new fencing token. Token
// is what the last holder handed over, rate the load of the range in calls per
// second. It reports false, and does nothing, when the host is no member.
func (c *Change) Assign(span Span, host ident.Host, token string, rate float64) bool {
	owner := c.table.index(host)
	if owner < 0 || !span.check() {
		return false
	}
	c.Release(span)
	c.changed = true
	row := Row{Span: span, Owner: owner, Fence: c.Fence(), Token: token, Rate: float32(rate)}
	at, _ := slices.BinarySearchFunc(c.table.doc.Rows, span.From, func(r Row, p Point) int {
		return int(r.Span.From) - int(p)
	})
	c.table.doc.Rows = slices.Insert(c.table.doc.Rows, at, row)
	c.merge()
	return true
}

// Release takes a range from whoever owns it.
func (c *Change) Release(span Span) {
	var rows []Row
	for _, r := range c.table.doc.Rows {
		if !r.Span.Meets(span) {
			rows = append(rows, r)
			continue
		}
		c.changed = true
		for _, rest := range Without([]Span{r.Span}, []Span{span}) {
			part := r
			part.Span = rest
			part.Rate = r.Rate * float32(rest.Size()) / float32(r.Span.Size())
			rows = append(rows, part)
		}
	}
	c.table.doc.Rows = rows
}

// merge joins neighbouring rows that differ in nothing but their range.
func (c *Change) merge() {
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

// Renew gives all ranges of a host a new fencing token, for a new life of its
// upstream. Nothing was handed over.
func (c *Change) Renew(host ident.Host) {
	i := c.table.index(host)
	for k := range c.table.doc.Rows {
		if c.table.doc.Rows[k].Owner == i {
			c.changed = true
			c.table.doc.Rows[k].Fence = c.Fence()
			c.table.doc.Rows[k].Token = ""
		}
	}
	c.merge()
}

// RowsOf returns the ranges of a host as changed so far.
func (c *Change) RowsOf(host ident.Host) []Row { return c.table.RowsOf(host) }

// Sign names the writer and the number of the write, and returns the new table.
func (c *Change) Sign(writer ident.Incarnation, number uint64) *Table {
	c.table.doc.Writer, c.table.doc.Number = writer, number
	return c.table
}
