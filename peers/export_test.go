package peers

import (
	"bytes"
	"io"
)

// DecodeCall decodes the header and the body of a call in its wire format, and returns
// the length of the body.
func DecodeCall(data []byte) (int64, error) {
	br := getReader(bytes.NewReader(data))
	defer putReader(br)
	h, err := readCallHeader(br)
	if err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, newBodyReader(br, h.Length))
}

// DecodeReply decodes an answer in its wire format and returns the length of the body.
func DecodeReply(data []byte) (int64, error) {
	br := getReader(bytes.NewReader(data))
	defer putReader(br)
	h, err := readReplyHeader(br)
	if err != nil {
		return 0, err
	}
	_ = h.err()
	return io.Copy(io.Discard, newBodyReader(br, h.Length))
}

// DecodeFrames decodes a control stream and returns the number of frames before the error
// that ends it.
func DecodeFrames(data []byte) (int, error) {
	r := bytes.NewReader(data)
	if _, err := readHello(r); err != nil {
		return 0, err
	}
	for n := 1; ; n++ {
		if _, err := readFrame(r); err != nil {
			return n, err
		}
	}
}

// Encoded returns a complete call, answer and control stream as seeds for fuzzing.
func Encoded() (call, reply, control []byte) {
	call, _ = encodeHeader(callHeader{Service: "s", Method: "GET", Path: "/", Hops: 1, Length: 3, TimeLeft: 5})
	reply, _ = encodeHeader(replyHeader{Outcome: 1, Status: 200, Length: 3})
	body := []byte{0, 0, 0, 3, 'a', 'b', 'c', 0, 0, 0, 0}
	f, _ := newHello(7)
	control = appendFrame(nil, f)
	control = appendFrame(control, frame{kind: framePing})
	return append(call, body...), append(reply, body...), control
}
