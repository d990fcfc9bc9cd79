package atlas_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/atlas"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

func member(host ident.Host, boot uint64) atlas.Member {
	return atlas.Member{Inc: ident.NewIncarnation(host, boot), Witnesses: []ident.Incarnation{ident.NewIncarnation("w", 1)}}
}

// sign returns the next version of the table, with the changes.
func sign(c *atlas.Change) *atlas.Table { return c.Finish(ident.NewIncarnation("a", 1), 1) }

func TestSpans(t *testing.T) {
	c := qt.New(t)
	s := atlas.NewSpan
	for _, test := range []struct {
		name          string
		spans, others []atlas.Span
		want          []atlas.Span
	}{
		{"nothing taken", []atlas.Span{s(1, 5)}, nil, []atlas.Span{s(1, 5)}},
		{"all taken", []atlas.Span{s(1, 5)}, []atlas.Span{s(0, 9)}, nil},
		{"middle", []atlas.Span{s(1, 9)}, []atlas.Span{s(4, 5)}, []atlas.Span{s(1, 3), s(6, 9)}},
		{"ends", []atlas.Span{s(1, 9)}, []atlas.Span{s(0, 1), s(9, 9)}, []atlas.Span{s(2, 8)}},
		{"several", []atlas.Span{s(10, 19), s(0, 5)}, []atlas.Span{s(3, 12)}, []atlas.Span{s(0, 2), s(13, 19)}},
		{"last key", []atlas.Span{atlas.Whole()}, []atlas.Span{s(65535, 65535)}, []atlas.Span{s(0, 65534)}},
	} {
		c.Check(atlas.Subtract(test.spans, test.others), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
	c.Assert(atlas.Merge([]atlas.Span{s(5, 6), s(0, 2), s(3, 4), s(9, 9)}), qt.DeepEquals, []atlas.Span{s(0, 6), s(9, 9)})
	c.Assert(atlas.Keys([]atlas.Span{s(0, 6), s(9, 9)}), qt.Equals, 8)
	cut, ok := s(1, 5).Intersect(s(4, 9))
	c.Assert(ok, qt.IsTrue)
	c.Assert(cut, qt.Equals, s(4, 5))
	_, ok = s(1, 3).Intersect(s(4, 9))
	c.Assert(ok, qt.IsFalse)
}

func TestChangeLeavesTheOldTable(t *testing.T) {
	c := qt.New(t)
	first := atlas.New("events").Change()
	first.Join(member("b", 1))
	first.Join(member("a", 1))
	c.Assert(first.Assign(atlas.NewSpan(0, 99), "b", "", 0), qt.IsTrue)
	c.Assert(first.Assign(atlas.NewSpan(100, 199), "a", "t", 0), qt.IsTrue)
	c.Assert(first.Assign(atlas.NewSpan(0, 1), "nobody", "", 0), qt.IsFalse)
	one := sign(first)
	c.Assert(one.Version(), qt.Equals, uint64(1))
	owner, ok := one.Owner(99)
	c.Assert(ok, qt.IsTrue)
	c.Assert(owner.Inc.Host, qt.Equals, ident.Host("b"))
	_, ok = one.Owner(200)
	c.Assert(ok, qt.IsFalse)

	second := one.Change()
	second.Assign(atlas.NewSpan(50, 149), "a", "", 0)
	two := sign(second)
	c.Assert(atlas.Spans(two.RowsOf("b")), qt.DeepEquals, []atlas.Span{atlas.NewSpan(0, 49)})
	c.Assert(atlas.Spans(one.RowsOf("b")), qt.DeepEquals, []atlas.Span{atlas.NewSpan(0, 99)})
	rows := two.RowsOf("a")
	c.Assert(rows, qt.HasLen, 2)
	c.Assert(rows[0].Fence > rows[1].Fence, qt.IsTrue)
	c.Assert(rows[1].Token, qt.Equals, "t")
	c.Assert(two.Unowned(), qt.DeepEquals, []atlas.Span{atlas.NewSpan(200, 65535)})
}

func TestDropLeavesKeysWithoutOwner(t *testing.T) {
	c := qt.New(t)
	change := atlas.New("events").Change()
	for _, host := range []ident.Host{"c", "a", "b"} {
		change.Join(member(host, 1))
	}
	change.Assign(atlas.NewSpan(0, 9), "a", "", 0)
	change.Assign(atlas.NewSpan(10, 19), "b", "", 0)
	change.Assign(atlas.NewSpan(20, 65535), "c", "", 0)
	one := sign(change)
	drop := one.Change()
	drop.Drop("b")
	drop.Drop("nobody")
	two := sign(drop)
	c.Assert(two.Unowned(), qt.DeepEquals, []atlas.Span{atlas.NewSpan(10, 19)})
	owner, _ := two.Owner(30)
	c.Assert(owner.Inc.Host, qt.Equals, ident.Host("c"))
	c.Assert(two.Members(), qt.HasLen, 2)
}

func TestRejoiningKeepsRanges(t *testing.T) {
	c := qt.New(t)
	change := atlas.New("events").Change()
	change.Join(member("a", 1))
	change.Assign(atlas.Whole(), "a", "token", 0)
	one := sign(change)
	again := one.Change()
	again.Join(member("a", 2))
	two := sign(again)
	c.Assert(two.RowsOf("a"), qt.DeepEquals, one.RowsOf("a"))
	fresh := two.Change()
	fresh.RenewFences("a")
	three := sign(fresh)
	c.Assert(three.RowsOf("a")[0].Fence >= two.RowsOf("a")[0].Fence+atlas.FencesPerVersion, qt.IsTrue)
	c.Assert(three.RowsOf("a")[0].Token, qt.Equals, "")
}

func TestEncoding(t *testing.T) {
	c := qt.New(t)
	change := atlas.New("events").Change()
	change.Join(member("a", 1))
	change.Assign(atlas.NewSpan(7, 9), "a", "abc", 0)
	one := sign(change)
	data, err := one.Encode()
	c.Assert(err, qt.IsNil)
	got, err := atlas.Decode(1, data)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Rows(), qt.DeepEquals, one.Rows())
	c.Assert(got.Members(), qt.DeepEquals, one.Members())
	for i := range data {
		broken := append([]byte{}, data...)
		broken[i] ^= 0xff
		if got, err := atlas.Decode(1, broken); err != nil {
			c.Assert(err, qt.ErrorIs, atlas.ErrMalformed)
		} else {
			for _, r := range got.Rows() {
				c.Assert(r.Owner < len(got.Members()), qt.IsTrue)
			}
		}
	}
	_, err = atlas.Decode(1, data[:len(data)-1])
	c.Assert(err, qt.ErrorIs, atlas.ErrMalformed)
}

// TestFencesRise assigns ranges at random. It guards against a new owner that
// gets a key under a fencing token that is not higher than every token used for
// the key before.
func TestFencesRise(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	hosts := []ident.Host{"a", "b", "c", "d"}
	table := atlas.New("events")
	highest := make(map[uint32]atlas.Fence)
	holder := make(map[uint32]ident.Host)
	for range 500 {
		change := table.Change()
		for _, host := range hosts {
			if _, ok := table.Member(host); !ok {
				change.Join(member(host, 1))
			}
		}
		from := uint32(rng.IntN(65000))
		host := hosts[rng.IntN(len(hosts))]
		switch rng.IntN(10) {
		case 0:
			change.Drop(host)
		case 1:
			change.RenewFences(host)
		default:
			change.Assign(atlas.NewSpan(from, from+uint32(rng.IntN(500))), host, "", 0)
		}
		table = sign(change)
		for _, p := range []uint32{from, from + 250, from + 500, 65535} {
			member, ok := table.Owner(p)
			if !ok {
				delete(holder, p)
				continue
			}
			for _, row := range table.RowsOf(member.Inc.Host) {
				if !row.Span.Contains(p) {
					continue
				}
				if holder[p] != member.Inc.Host && row.Fence <= highest[p] {
					t.Fatalf("version %d: key %d goes to %s under %d, %d was used", table.Version(), p, member.Inc.Host, row.Fence, highest[p])
				}
				highest[p], holder[p] = max(highest[p], row.Fence+atlas.FencesPerVersion-1), member.Inc.Host
			}
		}
	}
}

func TestPackedDocuments(t *testing.T) {
	c := qt.New(t)
	change := atlas.New("events").Change()
	for i := range 40 {
		host := ident.Host(fmt.Sprintf("upstream-host-%02d", i))
		change.Join(atlas.Member{Inc: ident.NewIncarnation(host, uint64(1000+i))})
		change.Assign(atlas.NewSpan(uint32(i)*1600, uint32(i)*1600+1599), host, "", 0)
	}
	table := sign(change)
	data, err := table.Encode()
	c.Assert(err, qt.IsNil)
	c.Check(len(data) < 1000, qt.IsTrue, qt.Commentf("%d bytes for 40 members", len(data)))
	got, err := atlas.Decode(table.Version(), data)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Rows(), qt.DeepEquals, table.Rows())
	for n := range data {
		if _, err := atlas.Decode(1, data[:n]); n > 0 {
			c.Assert(err, qt.ErrorIs, atlas.ErrMalformed)
		}
	}
}
