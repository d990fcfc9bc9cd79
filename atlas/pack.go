package atlas

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// compressedMark is the first byte of a compressed document. The CBOR of an
	// uncompressed document never starts with it.
	compressedMark = 0
	// maxDocumentBytes limits the size of a document after decompression, in
	// bytes.
	maxDocumentBytes = 4 << 20
)

var errTooLarge = errors.New("document exceeds 4 MiB after decompression")

// compress returns the compressed document. Host names and similar numbers repeat
// in it, and the time that a write takes on a slow link limits the number of
// writes per second.
func compress(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(compressedMark)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress ownership table: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("compress ownership table: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress ownership table: %w", err)
	}
	return b.Bytes(), nil
}

// decompress returns the uncompressed document. Data without compressedMark is
// returned as it is.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMark {
		return data, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(plain) > maxDocumentBytes {
		return nil, errTooLarge
	}
	return plain, nil
}
