package peers

import (
	"context"
	"io"
)

// ending is the body of an answer that ends its request's context when it is
// closed.
type ending struct {
	io.ReadCloser
	end context.CancelFunc
}

// Close implements io.Closer.
func (e *ending) Close() error {
	defer e.end()
	return e.ReadCloser.Close()
}
