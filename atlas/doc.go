// Package atlas holds the ownership table of one service. The keys of the service
// are ordered numbers. A table divides the key space into ranges and gives each
// range an owner and a fencing token.
//
// A table is stored as one document. A conditional write replaces the document as
// a whole and names the version that it replaces, so concurrent writers need no
// lock and every version is based on the previous one. Tables are immutable: a
// change returns a new table and leaves the old one as it was.
//
// # Usage
//
//	next := table.Change()
//	next.Join(atlas.Member{Inc: self, Witnesses: witnesses})
//	next.Assign(atlas.NewSpan(0, 4095), self.Host, "", rate)
//	data, err := next.Finish(self, 1).Encode()
//	// Write data on the condition that table.Version() is still the newest.
package atlas
