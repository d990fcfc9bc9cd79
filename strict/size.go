package strict

import (
	"fmt"
	"strconv"
	"strings"
)

// Size is a number of bytes, written as "512", "32KiB", "8MiB" or "1GiB".
type Size int64

// sizeUnits lists the units in descending order. Bytes must come last: String
// skips the last unit, and ParseSize tries the suffix "B" after those that end in
// it.
var sizeUnits = []struct {
	suffix string
	bytes  Size
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// Bytes returns the size in bytes.
func (s Size) Bytes() int64 { return int64(s) }

// String formats the size in the largest unit that divides it without remainder.
// ParseSize parses the result back to the same size.
func (s Size) String() string {
	for _, u := range sizeUnits[:len(sizeUnits)-1] {
		if s != 0 && s%u.bytes == 0 {
			return strconv.FormatInt(int64(s/u.bytes), 10) + u.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10)
}

// ParseSize parses a non-negative integer with an optional unit of sizeUnits;
// without a unit the number is in bytes. Spaces around the number are ignored.
// Returns an error when the size is negative or overflows.
func ParseSize(text string) (Size, error) {
	number, unit := strings.TrimSpace(text), Size(1)
	for _, u := range sizeUnits {
		if rest, ok := strings.CutSuffix(number, u.suffix); ok {
			number, unit = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parse size %q: %w", text, err)
	}
	size := Size(n) * unit
	if n < 0 || size/unit != Size(n) {
		return 0, fmt.Errorf("parse size %q: negative or too large for 64 bits", text)
	}
	return size, nil
}
