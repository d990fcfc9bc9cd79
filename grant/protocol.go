// Package grant implements the daemon's side of the protocol with the upstream
// on the same host. The upstream announces itself every few hundred
// milliseconds. Each answer grants it shards with their fencing tokens for a
// short time, which the upstream measures on its own monotonic clock from when
// it sent the announcement.
//
// An upstream may allow its answer to be delayed while the grants do not change
// (long polling). It then learns of a change at once and confirms it with its
// next announcement, which shortens the time for which a moving shard is not
// served.
//
// # Usage
//
//	issuer := grant.New(source, grant.WithClock(clock))
//	router.Mount("/", issuer)
package grant

import (
	"github.com/monsoonmoor/monsoonmoor/ident"
)

// AnnouncePath is the HTTP path to which the upstream posts an Announcement as JSON.
const AnnouncePath = "/announce"

// Announcement describes an upstream and the grants that it holds. Upstreams send it periodically.
type Announcement struct {
	Service ident.Service `json:"service"`
	// Instance identifies one run of the upstream process.
	Instance string `json:"instance"`
	// URL is the base URL for requests to the upstream.
	URL string `json:"url"`
	// Slots is the maximum number of requests that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Conns is the maximum number of connections that the upstream accepts.
	Conns int `json:"conns"`
	// ChecksTokens reports that the upstream checks fencing tokens: it refuses requests outside its grants.
	ChecksTokens bool `json:"checks"`
	// Cold reports that the upstream has just started.
	Cold bool `json:"cold,omitempty"`
	// Leaving reports that the upstream asks to be drained so that it can stop.
	Leaving bool `json:"leaving,omitempty"`
	// HeldRevision is the revision of the grants that the upstream holds.
	HeldRevision uint64 `json:"have"`
	// MaxDelayMillis is the time in milliseconds for which the answer may be delayed while the grants do not change.
	// Zero asks for an immediate answer.
	MaxDelayMillis int64 `json:"wait,omitempty"`
}

// Grants is the answer to an Announcement: the shards that the upstream may serve.
type Grants struct {
	// Revision changes whenever the granted shards change.
	Revision uint64 `json:"revision"`
	// ValidMillis is the validity of all grants in milliseconds, counted from when the upstream sent its announcement.
	// Zero means that nothing is granted.
	ValidMillis int64 `json:"millis"`
	// Unchanged reports that the upstream already holds this revision; Spans is empty then.
	Unchanged bool   `json:"same,omitempty"`
	Spans     []Span `json:"spans,omitempty"`
	// Drained tells a leaving upstream that it owns no shards and has no outstanding requests.
	Drained bool `json:"drained,omitempty"`
}

// Span grants the slots from First to Last, both included, under one epoch.
type Span struct {
	First ident.Slot  `json:"first"`
	Last  ident.Slot  `json:"last"`
	Epoch ident.Epoch `json:"epoch"`
}
