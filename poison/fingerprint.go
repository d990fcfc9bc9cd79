package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// PrefixBytes is the part of a body that goes into a fingerprint.
const PrefixBytes = 4 << 10

// Fingerprint names a request by its service, method, path, key, the length
// of its body and the body's first bytes. It does not cover headers, which
// differ when a caller sends the same request again.
func Fingerprint(call *calls.Call, prefix []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{string(call.Service), call.Method, call.Path, call.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(call.Length))
	_, _ = d.Write(length[:])
	if call.Ordered {
		binary.BigEndian.PutUint64(length[:], uint64(call.Point))
		_, _ = d.Write(length[:])
	}
	_, _ = d.Write(prefix)
	return d.Sum64()
}

// CrashID names one crash: the end of one run of an upstream at one host.
// Every daemon that reports the crash gives it the same id.
func CrashID(host ident.Host, service ident.Service, instance string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(service) + "\x00" + instance)
}
