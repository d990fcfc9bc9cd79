// Package quota bounds the memory that the bodies of requests take in a process. Clients
// that aren't under the operators' control may send many large bodies at once and stop just
// short of their ends; without a bound, their bodies together outgrow the host's memory.
//
// An Account has a capacity in bytes. Bodies are read in steps, and each step takes its room
// from the account first. When there is none, the reader that sends most slowly is ended, if
// it is slower than a client inside the limits would be; otherwise the newcomer waits for a
// short time and is then refused. A body keeps its room until its share is released.
//
// # Usage
//
//	account := quota.New(64<<20, quota.WithClock(clock))
//	body, share, err := account.Read(ctx, r.Body, r.ContentLength, limit, abort)
//	if err != nil {
//		return err // quota.ErrFull, quota.ErrSlow, quota.ErrTooLarge, or that of the reader
//	}
//	defer share.Release()
package quota
