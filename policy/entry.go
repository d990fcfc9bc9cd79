package policy

import (
	"crypto/ed25519"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

// Topic is the name of the log's stream of settings.
const Topic = "settings"

const (
	// MaxEntry is the largest encoded entry in bytes.
	MaxEntry = 128 << 10
	// MaxBody is the largest body of a signed entry in bytes. Two of them and
	// their keys fit into one chunk of a snapshot.
	MaxBody = 48 << 10
)

// Kind tells the entries of the settings stream apart.
type Kind uint8

// Kinds of entry. The numbers are part of the log's format.
const (
	// KindKey gives a team its public key.
	KindKey Kind = 1
	// KindChange replaces a team's subtree.
	KindChange Kind = 2
	// KindSnapshot carries one chunk of the state.
	KindSnapshot Kind = 3
	// KindGenesis starts an empty state after the log has lost the old one.
	KindGenesis Kind = 4
)

// ID names one entry. An entry that was appended twice under one id counts
// once.
type ID [16]byte

// NewID returns an id that no other entry has.
func NewID() ID { return ID(uuid.New()) }

// ParseID reads the form that String writes.
func ParseID(text string) (ID, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return ID{}, fmt.Errorf("parse entry id: %w", err)
	}
	return ID(id), nil
}

// String returns the usual form of a UUID.
func (id ID) String() string { return uuid.UUID(id).String() }

// Entry is one entry of the settings stream. Its signature covers the other
// fields; snapshots carry none of their own, since their parts are signed.
type Entry struct {
	ID   ID     `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
	Sig  []byte `cbor:"4,keyasint,omitempty"`
}

// sigContext keeps a signature from being valid for anything else.
const sigContext = "monsoonmoor settings entry 1\n"

// message returns what the signature covers.
func (e *Entry) message() []byte {
	m := make([]byte, 0, len(sigContext)+1+len(e.ID)+len(e.Body))
	m = append(m, sigContext...)
	m = append(m, byte(e.Kind))
	m = append(m, e.ID[:]...)
	return append(m, e.Body...)
}

// signedBy reports whether the signature is that of key.
func (e *Entry) signedBy(key ed25519.PublicKey) bool {
	return len(key) == ed25519.PublicKeySize && ed25519.Verify(key, e.message(), e.Sig)
}

// signedByAny reports whether the signature is that of one of keys.
func (e *Entry) signedByAny(keys []ed25519.PublicKey) bool {
	return slices.ContainsFunc(keys, e.signedBy)
}

// sign returns the entry with the given content, signed with key.
func sign(key ed25519.PrivateKey, id ID, kind Kind, content any) (Entry, error) {
	body, err := cbor.Marshal(content)
	if err != nil {
		return Entry{}, fmt.Errorf("encode entry body: %w", err)
	}
	if len(body) > MaxBody {
		return Entry{}, fmt.Errorf("encode entry body: %d bytes, at most %d allowed", len(body), MaxBody)
	}
	e := Entry{ID: id, Kind: kind, Body: body}
	e.Sig = ed25519.Sign(key, e.message())
	return e, nil
}

// NewChange returns the entry that publishes a document, signed with the
// team's key.
func NewChange(key ed25519.PrivateKey, id ID, document Document) (Entry, error) {
	return sign(key, id, KindChange, document)
}

// NewKey returns the entry that gives a team its key, signed with the root key
// or the team's old key.
func NewKey(key ed25519.PrivateKey, id ID, grant KeyGrant) (Entry, error) {
	return sign(key, id, KindKey, grant)
}

// NewGenesis returns the entry that starts an empty state, signed with the
// root key.
func NewGenesis(key ed25519.PrivateKey, id ID) (Entry, error) {
	return sign(key, id, KindGenesis, struct{}{})
}

// KeyGrant is the body of a KindKey entry: it gives a team its public key.
type KeyGrant struct {
	Team Team `cbor:"1,keyasint"`
	// Number counts the team's keys from 1. An entry is void unless it names
	// the number after the one in force.
	Number uint64            `cbor:"2,keyasint"`
	Key    ed25519.PublicKey `cbor:"3,keyasint"`
}

// Chunk is the body of a KindSnapshot entry: one part of the state as it stood
// before the entry at offset Next.
type Chunk struct {
	// ID is the same in all chunks of a snapshot.
	ID    ID        `cbor:"1,keyasint"`
	Next  uint64    `cbor:"2,keyasint"`
	Index uint32    `cbor:"3,keyasint"`
	Count uint32    `cbor:"4,keyasint"`
	Teams []Subtree `cbor:"5,keyasint"`
}

// Subtree is what a snapshot holds of one team: the key entries from the
// newest one under the root key onwards, and the change in force.
type Subtree struct {
	Keys   []Entry `cbor:"1,keyasint"`
	Change *Entry  `cbor:"2,keyasint,omitempty"`
	// Signer is the number of the key that signed the change.
	Signer uint64 `cbor:"3,keyasint,omitempty"`
	// Proof holds the key entries that lead to Signer where Keys does not.
	Proof []Entry `cbor:"4,keyasint,omitempty"`
	// Offset is where the change stands on the log.
	Offset uint64 `cbor:"5,keyasint,omitempty"`
}

// Encode returns the CBOR form of an entry.
func Encode(e Entry) ([]byte, error) {
	data, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode settings entry: %w", err)
	}
	if len(data) > MaxEntry {
		return nil, fmt.Errorf("encode settings entry: %d bytes, at most %d allowed", len(data), MaxEntry)
	}
	return data, nil
}

// Decode reads the CBOR form of an entry.
func Decode(data []byte) (Entry, error) {
	var e Entry
	if len(data) > MaxEntry {
		return e, fmt.Errorf("decode settings entry: %d bytes, at most %d allowed", len(data), MaxEntry)
	}
	if err := decoder.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("decode settings entry: %w", err)
	}
	return e, nil
}

// decoder bounds what a decoded entry can make a reader allocate.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: 4096,
		MaxMapPairs:      4096,
		MaxNestedLevels:  16,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("policy: decode options: %v", err))
	}
	return mode
}()
