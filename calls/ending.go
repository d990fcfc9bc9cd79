package calls

import "io"

// OnClose returns a body that calls onClose after each Close, for instance to cancel
// the context of the request whose answer it belongs to.
func OnClose(body io.ReadCloser, onClose func()) io.ReadCloser {
	return &onCloseBody{ReadCloser: body, onClose: onClose}
}

type onCloseBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (e *onCloseBody) Close() error {
	defer e.onClose()
	return e.ReadCloser.Close()
}
