package atlas

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/store"
)

// Fence is the fencing token of a grant. Tokens increase with the versions of a
// table, so a range that is granted later has a higher token.
type Fence uint64

// FencesPerVersion is the number of fencing tokens that belong to each version. An owner
// uses the next higher one for each new run of its upstream, so that a restart
// of the upstream alone needs no new version.
const FencesPerVersion = 1 << 6

// Limits of a table that is decoded.
const (
	maxMembers   = 4096
	maxRows      = 1 << 14
	maxWitnesses = 32
	maxToken     = 256 // bytes
)

// ErrMalformed reports data that is not a valid ownership table.
var ErrMalformed = errors.New("malformed ownership table")

// Member is a daemon that may own keys.
type Member struct {
	_ struct{} `cbor:",toarray"`
	// Inc is the incarnation of the daemon that holds the lease.
	Inc ident.Incarnation
	// Witnesses are the daemons with which the member renews its lease.
	Witnesses []ident.Incarnation
}

// Row is a range of keys and its owner.
type Row struct {
	_    struct{} `cbor:",toarray"`
	Span Span
	// Owner is the index of the owner in the list of members.
	Owner int
	Fence Fence
	// Token is the handover token of the previous holder; empty if there is
	// none.
	Token string
	// Rate is the load of the range when it was assigned, in calls per second.
	Rate float32
}

// document is the encoded form of a table. The order of its fields is part of
// the encoding.
type document struct {
	_       struct{} `cbor:",toarray"`
	Service ident.Service
	Writer  ident.Incarnation
	Number  uint64
	Members []Member
	Rows    []Row
}

// recovery is the encoded form of a table that was written again after the store came
// back from a copy, and whose ranges may not be given to other members yet.
type recovery struct {
	_          struct{} `cbor:",toarray"`
	Table      document
	Recovering bool
}

// Table is one version of the ownership table. It is immutable.
type Table struct {
	version    uint64
	doc        document
	recovering bool
}

// New returns the empty table of a service, which is version 0.
func New(service ident.Service) *Table {
	return &Table{doc: document{Service: service}}
}

// At returns the same table as another version.
func (t *Table) At(version uint64) *Table {
	return &Table{version: version, doc: t.doc, recovering: t.recovering}
}

// Recover returns the same table as the first version of a later era of the store, which
// a member writes. See Recovering.
func (t *Table) Recover(version uint64, writer ident.Incarnation, number uint64) *Table {
	next := &Table{version: version, doc: t.doc, recovering: true}
	next.doc.Writer, next.doc.Number = writer, number
	return next
}

// Decode returns the table in a document, with the given version. Its errors
// wrap ErrMalformed.
func Decode(version uint64, data []byte) (*Table, error) {
	t := &Table{version: version}
	plain, err := decompress(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := t.decode(plain); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := t.validate(); err != nil {
		return nil, err
	}
	return t, nil
}

// decode reads either form of the document, which have different numbers of fields.
func (t *Table) decode(plain []byte) error {
	err := cbor.Unmarshal(plain, &t.doc)
	if err == nil {
		return nil
	}
	var r recovery
	if cbor.Unmarshal(plain, &r) != nil {
		return err
	}
	t.doc, t.recovering = r.Table, r.Recovering
	return nil
}

// Encode returns the document of the table. It does not include the version.
func (t *Table) Encode() ([]byte, error) {
	var doc any = t.doc
	if t.recovering {
		doc = recovery{Table: t.doc, Recovering: true}
	}
	data, err := cbor.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode ownership table: %w", err)
	}
	return compress(data)
}

// validate checks the limits, the order of members and rows, and the indexes of
// owners.
func (t *Table) validate() error {
	if len(t.doc.Members) > maxMembers || len(t.doc.Rows) > maxRows {
		return fmt.Errorf("%w: %d members, %d rows", ErrMalformed, len(t.doc.Members), len(t.doc.Rows))
	}
	for i, m := range t.doc.Members {
		if len(m.Witnesses) > maxWitnesses || (i > 0 && t.doc.Members[i-1].Inc.Host >= m.Inc.Host) {
			return fmt.Errorf("%w: member %d", ErrMalformed, i)
		}
	}
	for i, r := range t.doc.Rows {
		switch {
		case !r.Span.isValid(), r.Owner < 0, r.Owner >= len(t.doc.Members), len(r.Token) > maxToken:
			return fmt.Errorf("%w: row %d has an invalid range, owner or handover token", ErrMalformed, i)
		case i > 0 && t.doc.Rows[i-1].Span.To >= r.Span.From:
			return fmt.Errorf("%w: row %d overlaps the previous row or is out of order", ErrMalformed, i)
		}
	}
	return nil
}

// Version returns the table's version, which is 0 before the first write.
func (t *Table) Version() uint64 { return t.version }

// Era returns the era of the store in which the table was written, which is part of its
// version.
func (t *Table) Era() uint64 { return store.Era(t.version) }

// Recovering reports whether the table was written again after the store came back from
// a copy, and later versions may be lost that named other owners. Until a version without
// this mark is written, no range may be given to another member.
func (t *Table) Recovering() bool { return t.recovering }

// Service returns the service whose keys the table assigns.
func (t *Table) Service() ident.Service { return t.doc.Service }

// Writer returns the member that wrote this version and the number that it gave
// the write. With them a writer recognizes its own write.
func (t *Table) Writer() (ident.Incarnation, uint64) { return t.doc.Writer, t.doc.Number }

// Members returns the members, sorted by host. The caller must not modify the
// slice.
func (t *Table) Members() []Member { return t.doc.Members }

// Rows returns the rows in ascending order of keys. The caller must not modify
// the slice.
func (t *Table) Rows() []Row { return t.doc.Rows }

// Member returns the member on a host.
func (t *Table) Member(host ident.Host) (Member, bool) {
	if i := t.memberIndex(host); i >= 0 {
		return t.doc.Members[i], true
	}
	return Member{}, false
}

// memberIndex returns the index of the member on a host, or -1.
func (t *Table) memberIndex(host ident.Host) int {
	i, ok := sort.Find(len(t.doc.Members), func(i int) int {
		return strings.Compare(string(host), string(t.doc.Members[i].Inc.Host))
	})
	if !ok {
		return -1
	}
	return i
}

// Owner returns the member that owns a key; false if none does.
func (t *Table) Owner(p Point) (Member, bool) {
	i := sort.Search(len(t.doc.Rows), func(i int) bool { return t.doc.Rows[i].Span.To >= p })
	if i == len(t.doc.Rows) || !t.doc.Rows[i].Span.Contains(p) {
		return Member{}, false
	}
	return t.doc.Members[t.doc.Rows[i].Owner], true
}

// RowsOf returns the rows that a host owns, in ascending order of keys.
func (t *Table) RowsOf(host ident.Host) []Row {
	i := t.memberIndex(host)
	if i < 0 {
		return nil
	}
	var rows []Row
	for _, r := range t.doc.Rows {
		if r.Owner == i {
			rows = append(rows, r)
		}
	}
	return rows
}

// Owns reports whether the given incarnation of a member owns all keys of a
// range under the given fencing token.
func (t *Table) Owns(owner ident.Incarnation, span Span, fence Fence) bool {
	if member, ok := t.Member(owner.Host); !ok || member.Inc != owner {
		return false
	}
	var held []Span
	for _, r := range t.RowsOf(owner.Host) {
		if r.Fence == fence {
			held = append(held, r.Span)
		}
	}
	return span.isValid() && len(Subtract([]Span{span}, held)) == 0
}

// FenceAfter returns the lowest fencing token of the version that follows the
// given one.
func FenceAfter(version uint64) Fence { return Fence(version+1) * FencesPerVersion }

// Version returns the version of the table to which a fencing token belongs.
func (f Fence) Version() uint64 { return uint64(f) / FencesPerVersion }

// Era returns the era of the store in which a fencing token was given out.
func (f Fence) Era() uint64 { return store.Era(f.Version()) }

// Unowned returns the ranges without an owner, in ascending order.
func (t *Table) Unowned() []Span {
	spans := make([]Span, 0, len(t.doc.Rows))
	for _, r := range t.doc.Rows {
		spans = append(spans, r.Span)
	}
	return Subtract([]Span{Whole()}, spans)
}

// Spans returns the ranges of rows.
func Spans(rows []Row) []Span {
	spans := make([]Span, 0, len(rows))
	for _, r := range rows {
		spans = append(spans, r.Span)
	}
	return spans
}

// Change starts a change of the table. Signing it yields the next version; the
// table itself stays as it is.
func (t *Table) Change() *Change {
	next := &Table{version: t.version + 1, recovering: t.recovering, doc: document{
		Service: t.doc.Service,
		Members: slices.Clone(t.doc.Members),
		Rows:    slices.Clone(t.doc.Rows),
	}}
	return &Change{table: next}
}
