package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/monsoonmoor/monsoonmoor/wire"
)

// frameKind is the type of a frame on a control stream.
type frameKind byte

const (
	// frameHello is the first frame of the stream.
	frameHello frameKind = iota + 1
	// frameMessage carries a wire.Message.
	frameMessage
	// framePing is a probe that the peer answers with framePong.
	framePing
	// framePong is the reply to framePing.
	framePong
)

// frameOverhead is the size in bytes of a frame's prefix: its length and its kind.
const frameOverhead = lengthSize + 1

// errFrame reports a control frame that violates the protocol.
var errFrame = errors.New("malformed control frame")

// frame is one frame of a control stream.
type frame struct {
	kind    frameKind
	payload []byte
	// queuedAt is when the frame was queued, in the transport's time.
	queuedAt int64
	// noReply is set for frames that the peer does not reply to, so that its silence
	// after them is no reason to probe it.
	noReply bool
}

// isAnswer reports whether the message is itself a reply to a message of the peer.
func isAnswer(m *wire.Message) bool {
	return m.Grant != nil || m.Fenced != nil || m.Vote != nil || m.Pong != nil || m.Answer != nil
}

// hello is the payload of frameHello.
type hello struct {
	_ struct{} `cbor:",toarray"`
	// Instance is a random number that identifies one opened transport.
	Instance uint64
}

func appendFrame(buf []byte, f frame) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(f.payload)))
	buf = append(buf, byte(f.kind))
	return append(buf, f.payload...)
}

// readFrame reads one frame. The payload is newly allocated and belongs to the caller.
func readFrame(r io.Reader) (frame, error) {
	var prefix [frameOverhead]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return frame{}, fmt.Errorf("read control frame: %w", err)
	}
	n := binary.BigEndian.Uint32(prefix[:])
	kind := frameKind(prefix[lengthSize])
	if n > wire.MaxMessage {
		return frame{}, fmt.Errorf("%w: payload of %d bytes exceeds the limit", errFrame, n)
	}
	if kind < frameHello || kind > framePong {
		return frame{}, fmt.Errorf("%w: kind %d", errFrame, kind)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(r, payload); err != nil {
		return frame{}, fmt.Errorf("read control frame: %w", err)
	}
	return frame{kind: kind, payload: payload}, nil
}

func newHello(instance uint64) (frame, error) {
	payload, err := cbor.Marshal(hello{Instance: instance})
	if err != nil {
		return frame{}, fmt.Errorf("encode hello: %w", err)
	}
	return frame{kind: frameHello, payload: payload}, nil
}

// readHello reads the first frame of a control stream, which must be a frameHello.
func readHello(r io.Reader) (hello, error) {
	var h hello
	f, err := readFrame(r)
	if err != nil {
		return h, err
	}
	if f.kind != frameHello {
		return h, fmt.Errorf("%w: kind %d, hello expected", errFrame, f.kind)
	}
	if err := headerDecoder.Unmarshal(f.payload, &h); err != nil {
		return h, fmt.Errorf("%w: %w", errFrame, err)
	}
	return h, nil
}
