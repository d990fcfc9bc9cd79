package calls

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// MaxBuffered is the largest body, in bytes, that is kept in memory so that
// the request can be sent a second time.
const MaxBuffered = 64 << 10

// emptyBody serves every call without a body; reading it changes nothing.
var emptyBody = &Buffered{}

// Buffered is a body that is held in memory and can be read again.
type Buffered struct {
	data []byte
	at   int
}

// NewBuffered returns a body that reads data. It keeps the slice.
func NewBuffered(data []byte) *Buffered {
	if len(data) == 0 {
		return emptyBody
	}
	return &Buffered{data: data}
}

// Read implements io.Reader.
func (b *Buffered) Read(p []byte) (int, error) {
	if b.at >= len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.at:])
	b.at += n
	return n, nil
}

// Bytes returns the whole body. The caller must not change it.
func (b *Buffered) Bytes() []byte { return b.data }

// Close implements io.Closer; there is nothing to close.
func (b *Buffered) Close() error { return nil }

// Rewind makes the next Read start at the body's beginning.
func (b *Buffered) Rewind() {
	if b.at != 0 {
		b.at = 0
	}
}

// prefixed is a body whose first bytes were read ahead.
type prefixed struct {
	io.Reader
	prefix []byte
}

// Buffer reads the body into memory when it has at most limit bytes, and
// reports whether the whole body is in memory now. A longer body can be read
// as before. It returns an error when the body was cut.
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

// Prefix returns up to n bytes from the start of the body, which can still be
// read from its beginning. It returns an error when the body was cut.
func Prefix(call *Call, n int) ([]byte, error) {
	switch body := call.Body.(type) {
	case *Buffered:
		return body.data[:min(n, len(body.data))], nil
	case *prefixed:
		if len(body.prefix) >= n {
			return body.prefix[:n], nil
		}
	}
	if call.Length == 0 {
		return nil, nil
	}
	return readAhead(call, int64(n))
}

// readAhead reads up to n bytes and puts them back in front of the body.
func readAhead(call *Call, n int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(call.Body, n))
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	if call.Length > 0 && int64(len(data)) < min(n, call.Length) {
		return nil, fmt.Errorf("read request body: %w", io.ErrUnexpectedEOF)
	}
	call.Body = &prefixed{Reader: io.MultiReader(bytes.NewReader(data), call.Body), prefix: data}
	return data, nil
}

// ErrCut is the error of a body that ended before its announced length.
var ErrCut = errors.New("body ended early")

// WholeBody returns a reader of body that fails with ErrCut unless exactly
// length bytes come before its end. A length of -1 checks nothing.
func WholeBody(body io.ReadCloser, length int64) io.ReadCloser {
	if length < 0 {
		return body
	}
	return &wholeBody{ReadCloser: body, left: length}
}

type wholeBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (w *wholeBody) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	w.left -= int64(n)
	if w.left < 0 {
		return n, fmt.Errorf("%d bytes too many: %w", -w.left, ErrCut)
	}
	if errors.Is(err, io.EOF) && w.left > 0 {
		return n, fmt.Errorf("%d bytes missing: %w", w.left, ErrCut)
	}
	return n, err
}
