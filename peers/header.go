package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// Limits on headers that a peer may send.
const (
	// MaxHeader is the largest encoded header of a call or an answer, in
	// bytes.
	MaxHeader = 64 << 10
	// maxFields is the largest number of elements of an array or a map in a header.
	maxFields = 512
	// maxNested is the deepest nesting of arrays and maps in a header.
	maxNested = 6
)

// lengthSize is the size of a length prefix in bytes.
const lengthSize = 4

// errHeader reports a header that violates the protocol.
var errHeader = errors.New("malformed header")

// headerDecoder is the CBOR decoder with limits on size and nesting.
var headerDecoder = newHeaderDecoder()

func newHeaderDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxFields,
		MaxMapPairs:      maxFields,
		MaxNestedLevels:  maxNested,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("peers: decoder options: %v", err))
	}
	return mode
}

// callHeader is the header of a forwarded call.
type callHeader struct {
	ID          string        `cbor:"1,keyasint,omitempty"`
	Service     ident.Service `cbor:"2,keyasint"`
	Key         string        `cbor:"3,keyasint,omitempty"`
	Method      string        `cbor:"4,keyasint"`
	Path        string        `cbor:"5,keyasint"`
	Header      http.Header   `cbor:"6,keyasint,omitempty"`
	Length      int64         `cbor:"7,keyasint,omitempty"`
	Idempotency string        `cbor:"8,keyasint,omitempty"`
	Hops        int           `cbor:"9,keyasint,omitempty"`
	// TimeLeft is the time until the deadline in microseconds, or zero when the call has
	// none.
	TimeLeft int64 `cbor:"10,keyasint,omitempty"`
	// Confirm asks the peer to send confirmMark before the body is sent.
	Confirm bool `cbor:"11,keyasint,omitempty"`

	Host    string        `cbor:"12,keyasint,omitempty"`
	Origin  ident.Service `cbor:"13,keyasint,omitempty"`
	Point   uint32        `cbor:"14,keyasint,omitempty"`
	Ordered bool          `cbor:"15,keyasint,omitempty"`
	Terms   *termsHeader  `cbor:"16,keyasint,omitempty"`
	// Answered is set when the sender has seen an answer to the same request lately.
	Answered bool `cbor:"17,keyasint,omitempty"`
}

// termsHeader is the encoded form of a calls.RoutePolicy; times are in microseconds. The
// regions of the route bind only the daemon that chooses the upstream and are not sent.
type termsHeader struct {
	_          struct{} `cbor:",toarray"`
	Route      string
	Repeatable bool
	Attempts   int
	Priority   int
	Target     int64
	Timeout    int64
	Spent      int64
}

func newTermsHeader(t calls.RoutePolicy) *termsHeader {
	h := termsHeader{
		Route: t.Route, Repeatable: t.Repeatable, Attempts: t.Attempts, Priority: t.Priority,
		Target: t.Target.Microseconds(), Timeout: t.Timeout.Microseconds(), Spent: t.Spent.Microseconds(),
	}
	if h == (termsHeader{}) {
		return nil
	}
	return &h
}

func (h *termsHeader) terms() calls.RoutePolicy {
	if h == nil {
		return calls.RoutePolicy{}
	}
	return calls.RoutePolicy{
		Route: h.Route, Repeatable: h.Repeatable, Attempts: h.Attempts, Priority: h.Priority,
		Target:  time.Duration(h.Target) * time.Microsecond,
		Timeout: time.Duration(h.Timeout) * time.Microsecond,
		Spent:   time.Duration(h.Spent) * time.Microsecond,
	}
}

// newCallHeader returns the header of a call sent at time now to the next hop.
func newCallHeader(call *calls.Call, now time.Time, deadline time.Time, confirm bool) callHeader {
	h := callHeader{
		ID:          call.ID,
		Service:     call.Service,
		Key:         call.Key,
		Method:      call.Method,
		Path:        call.Path,
		Header:      call.Header,
		Length:      call.Length,
		Idempotency: call.Idempotency,
		Hops:        call.Hops + 1,
		Confirm:     confirm,
		Host:        call.Host,
		Origin:      call.Origin,
		Point:       call.Point,
		Ordered:     call.Ordered,
		Terms:       newTermsHeader(call.Terms),
		Answered:    call.Answered,
	}
	if !deadline.IsZero() {
		h.TimeLeft = max(1, deadline.Sub(now).Microseconds())
	}
	return h
}

// call returns the call described by the header; its deadline is counted from now.
func (h callHeader) call(now time.Time, body io.Reader) *calls.Call {
	c := &calls.Call{
		ID:          h.ID,
		Service:     h.Service,
		Key:         h.Key,
		Hash:        ident.HashKey(h.Key),
		Method:      h.Method,
		Path:        h.Path,
		Header:      h.Header,
		Body:        body,
		Length:      h.Length,
		Idempotency: h.Idempotency,
		Hops:        h.Hops,
		Host:        h.Host,
		Origin:      h.Origin,
		Point:       h.Point,
		Ordered:     h.Ordered,
		Terms:       h.Terms.terms(),
		Answered:    h.Answered,
	}
	if c.Header == nil {
		c.Header = http.Header{}
	}
	if h.TimeLeft > 0 {
		c.Deadline = now.Add(time.Duration(h.TimeLeft) * time.Microsecond)
	}
	return c
}

func (h callHeader) validate() error {
	switch {
	case h.Method == "" || h.Path == "" || h.Path[0] != '/':
		return fmt.Errorf("%w: method missing, or path without leading slash", errHeader)
	case h.Length < -1:
		return fmt.Errorf("%w: negative length", errHeader)
	case h.Hops < 1:
		return fmt.Errorf("%w: hop count below 1", errHeader)
	case h.TimeLeft < 0 || h.TimeLeft > math.MaxInt64/int64(time.Microsecond):
		return fmt.Errorf("%w: time to deadline out of range", errHeader)
	}
	return nil
}

// replyHeader is the header of the answer to a call.
type replyHeader struct {
	Outcome  calls.Outcome `cbor:"1,keyasint"`
	Status   int           `cbor:"2,keyasint,omitempty"`
	Header   http.Header   `cbor:"3,keyasint,omitempty"`
	Length   int64         `cbor:"4,keyasint,omitempty"`
	Replayed bool          `cbor:"5,keyasint,omitempty"`

	Reason calls.Reason      `cbor:"6,keyasint,omitempty"`
	Hint   ident.Incarnation `cbor:"7,keyasint,omitempty"`
	// RetryDelay is the delay before a retry in microseconds.
	RetryDelay int64  `cbor:"8,keyasint,omitempty"`
	Cause      string `cbor:"9,keyasint,omitempty"`
	// Wait is how long a new call would wait at the answering daemon, in microseconds.
	Wait int64 `cbor:"10,keyasint,omitempty"`
}

// maxCause is the length in bytes to which the text of an error's cause is truncated.
const maxCause = 512

func newErrorHeader(err error) replyHeader {
	e := calls.AsError(err)
	h := replyHeader{
		Outcome:    e.Outcome(),
		Reason:     e.Reason(),
		Hint:       e.Hint(),
		RetryDelay: e.RetryAfter().Microseconds(),
	}
	if cause := e.Unwrap(); cause != nil {
		h.Cause = cause.Error()
		h.Cause = h.Cause[:min(len(h.Cause), maxCause)]
	}
	return h
}

// err returns the error that the header carries, or nil when the call was answered.
func (h replyHeader) err() *calls.Error {
	if h.Outcome == calls.Answered {
		return nil
	}
	opts := []calls.ErrorOption{
		calls.WithHint(h.Hint),
		calls.WithRetryAfter(time.Duration(h.RetryDelay) * time.Microsecond),
	}
	if h.Cause != "" {
		opts = append(opts, calls.WithCause(errors.New(h.Cause)))
	}
	if h.Outcome == calls.NotRun {
		return calls.NewNotRun(h.Reason, opts...)
	}
	return calls.NewUnknown(h.Reason, opts...)
}

func (h replyHeader) validate() error {
	switch {
	case h.Outcome < calls.Answered || h.Outcome > calls.Unknown:
		return fmt.Errorf("%w: unknown outcome", errHeader)
	case h.Outcome == calls.Answered && (h.Status < 100 || h.Status > 999):
		return fmt.Errorf("%w: status not in 100 to 999", errHeader)
	case h.Length < -1:
		return fmt.Errorf("%w: negative length", errHeader)
	case h.RetryDelay < 0 || h.RetryDelay > math.MaxInt64/int64(time.Microsecond):
		return fmt.Errorf("%w: retry delay out of range", errHeader)
	}
	return nil
}

// encodeHeader encodes a header with its length prefix. It returns an error when the
// encoded header exceeds MaxHeader.
func encodeHeader(header any) ([]byte, error) {
	data, err := cbor.Marshal(header)
	if err != nil {
		return nil, fmt.Errorf("encode header: %w", err)
	}
	if len(data) > MaxHeader {
		return nil, fmt.Errorf("encode header: %d bytes, at most %d allowed", len(data), MaxHeader)
	}
	buf := make([]byte, lengthSize, lengthSize+len(data)+len(endMarker))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	return append(buf, data...), nil
}

// readHeader reads a length-prefixed header and decodes it into header.
func readHeader(r io.Reader, header any) error {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return fmt.Errorf("read header length: %w", err)
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n == 0 || n > MaxHeader {
		return fmt.Errorf("%w: length of %d bytes out of range", errHeader, n)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	if err := headerDecoder.Unmarshal(data, header); err != nil {
		return fmt.Errorf("%w: %w", errHeader, err)
	}
	return nil
}

func readCallHeader(r io.Reader) (callHeader, error) {
	var h callHeader
	if err := readHeader(r, &h); err != nil {
		return h, err
	}
	return h, h.validate()
}

func readReplyHeader(r io.Reader) (replyHeader, error) {
	var h replyHeader
	if err := readHeader(r, &h); err != nil {
		return h, err
	}
	return h, h.validate()
}
