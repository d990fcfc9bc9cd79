package peers

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// errShut reports a call that was given up before any of it was sent.
var errShut = errors.New("call was given up")

// gated is the body of a call that is either read or given up, never both: what was
// given up has certainly not been sent.
type gated struct {
	io.Reader
	state atomic.Int32
	// opened is told of the first reading.
	opened func()
}

func newGated(r io.Reader, opened func()) *gated { return &gated{Reader: r, opened: opened} }

// States of a gated body.
const (
	gateIdle int32 = iota
	gateRead
	gateShut
)

// Read implements io.Reader.
func (g *gated) Read(p []byte) (int, error) {
	switch {
	case g.state.CompareAndSwap(gateIdle, gateRead):
		g.opened()
	case g.state.Load() == gateShut:
		return 0, errShut
	}
	n, err := g.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, fmt.Errorf("read call: %w", err)
	}
	return n, err
}

// Close implements io.Closer.
func (g *gated) Close() error { return nil }

// shut gives the call up, and reports whether nothing of it was read before.
func (g *gated) shut() bool {
	return g.state.CompareAndSwap(gateIdle, gateShut) || g.state.Load() == gateShut
}
