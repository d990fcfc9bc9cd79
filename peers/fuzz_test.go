package peers_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonmoor/monsoonmoor/peers"
)

// FuzzDecoders runs arbitrary bytes through every decoder of data from a peer. None may
// panic or return more bytes or frames than the input has bytes.
func FuzzDecoders(f *testing.F) {
	call, reply, control := peers.Encoded()
	for _, seed := range [][]byte{call, reply, control, nil, {0xff, 0xff, 0xff, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		n, _ := peers.DecodeCall(data)
		c.Assert(n <= int64(len(data)), qt.IsTrue)
		n, _ = peers.DecodeReply(data)
		c.Assert(n <= int64(len(data)), qt.IsTrue)
		frames, err := peers.DecodeFrames(data)
		c.Assert(err, qt.IsNotNil)
		c.Assert(frames <= len(data), qt.IsTrue)
	})
}

// TestCutInputIsNeverComplete truncates an encoded call and answer at every byte, and
// appends a byte. Each must fail to decode.
func TestCutInputIsNeverComplete(t *testing.T) {
	c := qt.New(t)
	call, reply, _ := peers.Encoded()
	for name, decode := range map[string]func([]byte) (int64, error){"call": peers.DecodeCall, "reply": peers.DecodeReply} {
		data := map[string][]byte{"call": call, "reply": reply}[name]
		_, err := decode(data)
		c.Assert(err, qt.IsNil)
		for n := range data {
			_, err := decode(data[:n])
			c.Assert(err, qt.IsNotNil, qt.Commentf("%s cut to %d of %d bytes", name, n, len(data)))
		}
		_, err = decode(append(append([]byte(nil), data...), 0))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s with a byte too many", name))
	}
}
