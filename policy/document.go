package policy

import (
	"time"

	"github.com/monsoonmoor/monsoonmoor/ident"
	"github.com/monsoonmoor/monsoonmoor/strict"
)

// Team names the owner of one subtree.
type Team string

// Revision counts the accepted changes of one subtree; zero means that there
// was none.
type Revision uint64

// Document is one team's whole subtree.
type Document struct {
	Team Team `yaml:"team" cbor:"1,keyasint"`
	// Base is the revision that the document was based on.
	Base     Revision                  `yaml:"base" cbor:"2,keyasint"`
	Services map[ident.Service]Service `yaml:"services" cbor:"3,keyasint"`
}

// Service is what a team says of one service.
type Service struct {
	// Slots is the number of hash slots, a power of two. It never changes once
	// it is in force.
	Slots uint32 `yaml:"slots" cbor:"1,keyasint"`
	// Divided reports a service whose keys have one owner each.
	Divided bool `yaml:"divided" cbor:"2,keyasint"`
	// Places lists where the service may own keys; empty means everywhere.
	Places []ident.Place `yaml:"places" cbor:"3,keyasint,omitempty"`
	Key    Key           `yaml:"key" cbor:"4,keyasint"`
	// Timeout is the time limit of a request that brings none.
	Timeout time.Duration `yaml:"timeout" cbor:"5,keyasint"`
	// Body is the largest body of a request or an answer.
	Body   strict.Size `yaml:"body" cbor:"6,keyasint"`
	Limits Limits      `yaml:"limits" cbor:"7,keyasint"`
	Share  Share       `yaml:"share" cbor:"8,keyasint"`
}

// From says where a request carries its key.
type From string

// Sources of a request's key.
const (
	FromHeader From = "header"
	FromPath   From = "path"
	FromQuery  From = "query"
)

// Key says where a request carries its key.
type Key struct {
	From From `yaml:"from" cbor:"1,keyasint"`
	// Name is the header or query parameter.
	Name string `yaml:"name" cbor:"2,keyasint,omitempty"`
	// Segment is the number of the path segment, counted from 1.
	Segment int `yaml:"segment" cbor:"3,keyasint,omitempty"`
}

// Limits bounds the requests of a service at one upstream.
type Limits struct {
	// Queue is the number of requests that may wait.
	Queue int `yaml:"queue" cbor:"1,keyasint"`
	// Wait is the longest time that a request waits.
	Wait time.Duration `yaml:"wait" cbor:"2,keyasint"`
	// Retries is the share of requests that may be retries, in percent.
	Retries int `yaml:"retries" cbor:"3,keyasint"`
}

// Share says how the load of a service is shared out.
type Share struct {
	// Moves is the number of slots that a member may give away in a minute.
	Moves int `yaml:"moves" cbor:"1,keyasint"`
	// Hysteresis is the imbalance, as a share of the lighter member's load, up
	// to which nothing moves.
	Hysteresis float64 `yaml:"hysteresis" cbor:"2,keyasint"`
	// Cooldown is the time for which a moved slot stays where it is.
	Cooldown time.Duration `yaml:"cooldown" cbor:"3,keyasint"`
	// Pins is the number of keys that may have slots of their own.
	Pins int `yaml:"pins" cbor:"4,keyasint"`
}

// DefaultService returns the service that holds where a document says nothing.
func DefaultService() Service {
	return Service{
		Slots:   ident.DefaultSlots,
		Divided: true,
		Key:     Key{From: FromHeader, Name: "Moor-Key"},
		Timeout: 10 * time.Second,
		Body:    32 << 20,
		Limits:  Limits{Queue: 256, Wait: time.Second, Retries: 10},
		Share:   Share{Moves: 120, Hysteresis: 0.2, Cooldown: 30 * time.Second, Pins: 64},
	}
}
