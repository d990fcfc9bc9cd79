package table

import "github.com/monsoonmoor/monsoonmoor/ident"

// Target is the shard of a key with its owner and successors, to which the key's
// requests are routed, according to one reader's table.
type Target struct {
	Shard      ident.Shard
	Epoch      ident.Epoch
	Owner      ident.Incarnation
	Successors [2]ident.Incarnation
}
