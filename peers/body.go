package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Sizes used by the framing of bodies, in bytes.
const (
	// maxChunk is the largest number of bytes in one chunk of a body.
	maxChunk = 32 << 10
	// readBuffer is the size of the buffer that a stream is read through.
	readBuffer = 4 << 10
)

// errBody reports a body that ended before its end marker or breaks the framing.
var errBody = errors.New("truncated or malformed body")

// chunkPool holds buffers for one chunk and its length prefix.
var chunkPool = sync.Pool{New: func() any {
	buf := make([]byte, lengthSize+maxChunk)
	return &buf
}}

// readerPool holds the buffered readers that streams are read through.
var readerPool = sync.Pool{New: func() any {
	return bufio.NewReaderSize(nil, readBuffer)
}}

// getReader returns a pooled reader of r. The caller gives it back with putReader.
func getReader(r io.Reader) *bufio.Reader {
	br, _ := readerPool.Get().(*bufio.Reader)
	br.Reset(r)
	return br
}

func putReader(br *bufio.Reader) {
	br.Reset(nil)
	readerPool.Put(br)
}

// endMarker is the zero-length chunk that ends a body.
var endMarker = [lengthSize]byte{}

// writeBody copies body to w in length-prefixed chunks, followed by the end marker. It
// calls beforeWrite before the first write, and again before each later one. Length is
// the number of bytes that body must hold, or -1 if that is unknown.
func writeBody(w io.Writer, body io.Reader, length int64, beforeWrite func()) error {
	buf, _ := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(buf)
	var sent int64
	for {
		n, err := body.Read((*buf)[lengthSize:])
		if n > 0 {
			sent += int64(n)
			beforeWrite()
			binary.BigEndian.PutUint32(*buf, uint32(n))
			if _, err := w.Write((*buf)[:lengthSize+n]); err != nil {
				return fmt.Errorf("write body: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
	if length >= 0 && sent != length {
		return fmt.Errorf("%w: %d bytes of %d", errBody, sent, length)
	}
	beforeWrite()
	if _, err := w.Write(endMarker[:]); err != nil {
		return fmt.Errorf("write end of body: %w", err)
	}
	return nil
}

// bodyReader reads a body written by writeBody. It returns io.EOF only after it has read
// the end marker and, where the length is known, exactly that number of bytes.
type bodyReader struct {
	br *bufio.Reader
	// remaining is the number of unread bytes in the current chunk.
	remaining int
	// length is the body length given in the header, or -1 if unknown.
	length int64
	read   int64
	err    error
}

func newBodyReader(br *bufio.Reader, length int64) *bodyReader {
	return &bodyReader{br: br, length: length}
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.remaining == 0 {
		if b.err = b.nextChunk(); b.err != nil {
			return 0, b.err
		}
	}
	n, err := b.br.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.read += int64(n)
	if err != nil {
		b.err = bodyError(err)
	}
	return n, b.err
}

// nextChunk reads the length prefix of the next chunk.
func (b *bodyReader) nextChunk() error {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(b.br, prefix[:]); err != nil {
		return bodyError(err)
	}
	n := binary.BigEndian.Uint32(prefix[:])
	switch {
	case n == 0:
		return b.checkEnd()
	case n > maxChunk:
		return fmt.Errorf("%w: chunk of %d bytes exceeds the limit", errBody, n)
	case b.length >= 0 && b.read+int64(n) > b.length:
		return fmt.Errorf("%w: longer than the %d bytes announced", errBody, b.length)
	}
	b.remaining = int(n)
	return nil
}

// checkEnd checks that the body has its announced length and that no bytes follow it.
func (b *bodyReader) checkEnd() error {
	if b.length >= 0 && b.read != b.length {
		return fmt.Errorf("%w: %d bytes of %d", errBody, b.read, b.length)
	}
	if _, err := b.br.ReadByte(); !errors.Is(err, io.EOF) {
		if err == nil {
			return fmt.Errorf("%w: bytes after the end marker", errBody)
		}
		return bodyError(err)
	}
	return io.EOF
}

// bodyError wraps a read error in errBody, so that an io.EOF of the stream is not taken
// for the end of the body.
func bodyError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errBody
	}
	return fmt.Errorf("%w: %w", errBody, err)
}
