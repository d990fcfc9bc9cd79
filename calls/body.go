package calls

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
)

// MaxBuffered is the largest body, in bytes, that is buffered in memory so that
// the request can be sent again on a retry.
const MaxBuffered = 64 << 10

// emptyBody is shared by all calls without a body. Sharing is safe because reading
// an empty body does not change its state.
var emptyBody = &Buffered{}

// Buffered is a body that is held in memory and can be rewound and read again.
type Buffered struct {
	data []byte
	// more holds the segments of a long body that follow data.
	more   [][]byte
	offset int
}

// NewBuffered returns a body with the content data. It retains the slice, which
// must not be changed afterwards.
func NewBuffered(data []byte) *Buffered {
	if len(data) == 0 {
		return emptyBody
	}
	return &Buffered{data: data}
}

// NewSegments returns a body that consists of segments. It retains the slices, which must
// not be changed afterwards.
func NewSegments(segments [][]byte) *Buffered {
	if len(segments) == 0 {
		return emptyBody
	}
	return &Buffered{data: segments[0], more: segments[1:]}
}

// Read implements io.Reader.
func (b *Buffered) Read(p []byte) (int, error) {
	at := b.offset
	for i := -1; i < len(b.more); i++ {
		segment := b.data
		if i >= 0 {
			segment = b.more[i]
		}
		if at < len(segment) {
			n := copy(p, segment[at:])
			b.offset += n
			return n, nil
		}
		at -= len(segment)
	}
	return 0, io.EOF
}

// Len returns the length of the body in bytes.
func (b *Buffered) Len() int {
	n := len(b.data)
	for _, segment := range b.more {
		n += len(segment)
	}
	return n
}

// Reader returns a reader of the whole body, independent of what has been read.
func (b *Buffered) Reader() io.Reader {
	if len(b.more) == 0 {
		return bytes.NewReader(b.data)
	}
	readers := []io.Reader{bytes.NewReader(b.data)}
	for _, segment := range b.more {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}

// Prefix returns up to n bytes from the start of the body, but no more than those of its
// first segment. The result must not be modified.
func (b *Buffered) Prefix(n int) []byte { return b.data[:min(n, len(b.data))] }

// Bytes returns the whole body, independent of what has been read. The result must
// not be modified. The segments of a long body are copied into one slice.
func (b *Buffered) Bytes() []byte {
	if len(b.more) > 0 {
		b.data, b.more = slices.Concat(append([][]byte{b.data}, b.more...)...), nil
	}
	return b.data
}

// Close implements io.Closer. It does nothing.
func (b *Buffered) Close() error { return nil }

// Rewind makes the next Read start at the beginning of the body.
func (b *Buffered) Rewind() {
	if b.offset != 0 {
		b.offset = 0
	}
}

// prefixedBody is a body whose first bytes have been read into prefix. Its Reader
// returns them again before the rest.
type prefixedBody struct {
	io.Reader
	prefix []byte
}

// Buffer reads the call's body into memory if it has at most limit bytes, and
// reports whether the whole body is in memory. A longer body can still be read from
// its beginning. Buffer returns an error when the body is truncated.
func Buffer(call *Call, limit int64) (bool, error) {
	if _, ok := call.Body.(*Buffered); ok {
		return true, nil
	}
	if call.Length > limit {
		return false, nil
	}
	if call.Length == 0 || call.Body == nil {
		call.Body, call.Length = emptyBody, 0
		return true, nil
	}
	if call.Length > 0 {
		data := make([]byte, call.Length)
		if _, err := io.ReadFull(call.Body, data); err != nil {
			return false, fmt.Errorf("read request body: %w", err)
		}
		call.Body = NewBuffered(data)
		return true, nil
	}
	data, err := readAhead(call, limit+1)
	if err != nil || int64(len(data)) > limit {
		return false, err
	}
	call.Body, call.Length = NewBuffered(data), int64(len(data))
	return true, nil
}

// PeekBody returns up to n bytes from the start of the call's body without consuming
// them: the body can still be read from its beginning. It returns an error when the
// body is truncated.
func PeekBody(call *Call, n int) ([]byte, error) {
	switch body := call.Body.(type) {
	case *Buffered:
		return body.Prefix(n), nil
	case *prefixedBody:
		if len(body.prefix) >= n {
			return body.prefix[:n], nil
		}
	}
	if call.Length == 0 {
		return nil, nil
	}
	return readAhead(call, int64(n))
}

// readAhead reads up to n bytes and replaces the call's body by one that returns
// these bytes again before the rest.
func readAhead(call *Call, n int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(call.Body, n))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if call.Length > 0 && int64(len(data)) < min(n, call.Length) {
		return nil, fmt.Errorf("read request body: %w", io.ErrUnexpectedEOF)
	}
	call.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(data), call.Body), prefix: data}
	return data, nil
}

// ErrBodyLength is returned when a body is shorter or longer than its announced length.
var ErrBodyLength = errors.New("body length differs from the announced length")

// CheckBodyLength returns a reader of body that fails with an error wrapping ErrBodyLength unless
// the body has exactly length bytes. A length of -1 disables the check.
func CheckBodyLength(body io.ReadCloser, length int64) io.ReadCloser {
	if length < 0 {
		return body
	}
	return &lengthCheckedBody{ReadCloser: body, remaining: length}
}

// lengthCheckedBody is a body that must have exactly remaining more bytes.
type lengthCheckedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (w *lengthCheckedBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	w.remaining -= int64(n)
	if w.remaining < 0 {
		return n, fmt.Errorf("%d bytes too many: %w", -w.remaining, ErrBodyLength)
	}
	if errors.Is(err, io.EOF) && w.remaining > 0 {
		return n, fmt.Errorf("%d bytes missing: %w", w.remaining, ErrBodyLength)
	}
	return n, err
}
