package atlas

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// packed is the first byte of a compressed document; no plain one begins so.
	packed = 0
	// maxPlain is the largest document that is unpacked, in bytes.
	maxPlain = 4 << 20
)

var errTooLong = errors.New("document is too long")

// pack compresses a document: names of hosts and near numbers repeat, and the
// time that a write takes on a slow link decides how many a second there can be.
func pack(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte(packed)
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack ownership table: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("pack ownership table: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack ownership table: %w", err)
	}
	return b.Bytes(), nil
}

// unpack returns the plain document.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packed {
		return data, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data[1:])), maxPlain+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(plain) > maxPlain {
		return nil, errTooLong
	}
	return plain, nil
}
