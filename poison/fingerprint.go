package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonmoor/monsoonmoor/calls"
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// PrefixBytes is the number of leading body bytes that a fingerprint covers.
const PrefixBytes = 4 << 10

// Fingerprint returns a hash of the service, method, path, key and body length of
// a request, of its point if it is ordered, and of prefix, the first bytes of its
// body. It does not cover headers, which may differ when a caller sends the same
// request again.
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

// CrashID returns the id of one crash, that of one instance of an upstream on one
// host. The id is the same whichever daemon reports the crash.
func CrashID(host ident.Host, service ident.Service, instance string) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(service) + "\x00" + instance)
}
