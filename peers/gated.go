package peers

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// errBodyCanceled reports a call that was canceled before any of its bytes were read for
// sending.
var errBodyCanceled = errors.New("call was canceled before it was sent")

// cancelableBody is a request body that can be canceled until its first Read. A body is
// either read or canceled, never both, so a canceled call has certainly not been sent.
type cancelableBody struct {
	io.Reader
	state atomic.Int32
	// onFirstRead is called at the first Read.
	onFirstRead func()
}

func newCancelableBody(r io.Reader, opened func()) *cancelableBody {
	return &cancelableBody{Reader: r, onFirstRead: opened}
}

// States of a cancelableBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyCanceled
)

// Read implements io.Reader.
func (g *cancelableBody) Read(p []byte) (int, error) {
	switch {
	case g.state.CompareAndSwap(bodyUnread, bodyRead):
		g.onFirstRead()
	case g.state.Load() == bodyCanceled:
		return 0, errBodyCanceled
	}
	n, err := g.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read call body: %w", err)
	}
	return n, err
}

// Close implements io.Closer.
func (g *cancelableBody) Close() error { return nil }

// cancelUnread cancels the body unless it has been read, and reports whether it is canceled.
func (g *cancelableBody) cancelUnread() bool {
	return g.state.CompareAndSwap(bodyUnread, bodyCanceled) || g.state.Load() == bodyCanceled
}
