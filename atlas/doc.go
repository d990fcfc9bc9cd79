// Package atlas holds the ownership table of one service whose keys are numbers
// in order. A table divides the key space into ranges, and gives each an owner
// and a fencing token.
//
// A table is one document. It is replaced as a whole by a conditional write that
// names the version it replaces, so that racing writers need no lock and every
// version follows from the one before it. All methods are pure: a change returns
// a new table and leaves the old one as it was.
//
// # Usage
//
//	next := table.Change()
//	next.Join(atlas.Member{Inc: self, Witnesses: witnesses})
//	next.Assign(atlas.NewSpan(0, 4095), self.Host, "", rate)
//	data, err := next.Sign(self, 1).Encode()
//	// The write is conditional on table.Version(); its version is the next one.
package atlas
