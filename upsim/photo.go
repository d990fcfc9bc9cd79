package upsim

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxPhoto bounds a photo in bytes.
const MaxPhoto = 64 << 20

var errPhoto = errors.New("photo too large")

// photo reads a photo of any size without keeping it.
func (s *server) photo(_ *job, ans *Answer, body io.Reader) error {
	sum := xxhash.New()
	n, err := io.Copy(sum, io.LimitReader(body, MaxPhoto+1))
	switch {
	case err != nil:
		return fmt.Errorf("read photo: %w", err)
	case n > MaxPhoto:
		return errPhoto
	}
	ans.Bytes, ans.Sum = n, strconv.FormatUint(sum.Sum64(), 16)
	return nil
}

// answerPhoto streams a photo of the size asked for, with its sum ahead.
func (s *server) answerPhoto(w http.ResponseWriter, _ *http.Request, j *job, _ Answer) error {
	n := j.photo
	sum := xxhash.New()
	if _, err := io.Copy(sum, NewPhoto(j.key, n)); err != nil {
		return fmt.Errorf("sum photo: %w", err)
	}
	w.Header().Set(HeaderSum, strconv.FormatUint(sum.Sum64(), 16))
	w.Header().Set("Content-Type", "image/jpeg")
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	if _, err := io.Copy(w, NewPhoto(j.key, n)); err != nil {
		return fmt.Errorf("write photo: %w", err)
	}
	return nil
}

// photoReader makes up bytes that differ by key and position.
type photoReader struct {
	state uint64
	left  int64
}

// NewPhoto returns a reader of n made-up bytes, the same each time for a key.
func NewPhoto(key string, n int64) io.Reader {
	return &photoReader{state: xxhash.Sum64String(key) | 1, left: n}
}

// Read implements io.Reader.
func (p *photoReader) Read(buf []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(buf)), p.left))
	for i := range buf[:n] {
		// Xorshift: cheap, and every cut or shift changes the sum.
		p.state ^= p.state << 13
		p.state ^= p.state >> 7
		p.state ^= p.state << 17
		buf[i] = byte(p.state)
	}
	p.left -= int64(n)
	return n, nil
}
