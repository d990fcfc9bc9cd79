package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// Incarnation is one run of a daemon: its host and a number that no other run
// on that host has used. The zero value names no member.
type Incarnation struct {
	_    struct{} `cbor:",toarray"`
	Host Host
	Boot uint64
}

// NewIncarnation returns the incarnation of host with the given boot number.
func NewIncarnation(host Host, boot uint64) Incarnation {
	return Incarnation{Host: host, Boot: boot}
}

// IsZero reports whether i names no member.
func (i Incarnation) IsZero() bool {
	return i.Boot == 0 && i.Host == ""
}

// String returns "host~boot", with the boot number in hexadecimal.
func (i Incarnation) String() string {
	if i.IsZero() {
		return "-"
	}
	return string(i.Host) + "~" + strconv.FormatUint(i.Boot, 16)
}

// Compare orders incarnations by host and then by boot number.
func (i Incarnation) Compare(o Incarnation) int {
	if c := strings.Compare(string(i.Host), string(o.Host)); c != 0 {
		return c
	}
	switch {
	case i.Boot < o.Boot:
		return -1
	case i.Boot > o.Boot:
		return 1
	}
	return 0
}

// ParseIncarnation reads the form that String writes.
func ParseIncarnation(s string) (Incarnation, error) {
	if s == "-" {
		return Incarnation{}, nil
	}
	host, boot, ok := strings.Cut(s, "~")
	if !ok || host == "" {
		return Incarnation{}, fmt.Errorf("parse incarnation %q: want host~boot", s)
	}
	n, err := strconv.ParseUint(boot, 16, 64)
	if err != nil {
		return Incarnation{}, fmt.Errorf("parse boot number of %q: %w", s, err)
	}
	return Incarnation{Host: Host(host), Boot: n}, nil
}
