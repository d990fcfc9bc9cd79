package stream

// Topics of the system.
const (
	// Ownership is the stream of ownership records.
	Ownership = "ownership"
	// Settings is the stream of published settings.
	Settings = "settings"
)

// MaxRecord is the largest record in bytes.
const MaxRecord = 256 << 10

// BatchType is the media type of an encoded Batch.
const BatchType = "application/cbor"

// Appended answers an append.
type Appended struct {
	Offset uint64 `json:"offset"`
}

// Gone answers a read below the first record that is kept.
type Gone struct {
	First uint64 `json:"first"`
}

// Batch answers a read. First is the first offset that is kept, Next the
// offset that the next record of the stream will have.
type Batch struct {
	First   uint64   `cbor:"1,keyasint"`
	Next    uint64   `cbor:"2,keyasint"`
	Records []Record `cbor:"3,keyasint"`
}

// Record is one record of a stream.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	// At is the time of the append in milliseconds since the Unix epoch.
	At   int64
	Data []byte
}

// Refused answers an append over the rate; Millis is when a repetition may
// succeed, in milliseconds from now.
type Refused struct {
	Millis int64 `json:"millis"`
}
