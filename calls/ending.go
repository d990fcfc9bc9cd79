package calls

import "io"

// Ending returns a body that calls end once it is closed, such as to end the
// context of the request that it answers.
func Ending(body io.ReadCloser, end func()) io.ReadCloser { return &ending{ReadCloser: body, end: end} }

type ending struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (e *ending) Close() error {
	defer e.end()
	return e.ReadCloser.Close()
}
