// Package verify checks histories that were recorded while a fleet was under
// load and faults: what each upstream executed, and what each caller was
// told. Its checks are pure functions on parsed histories.
//
// # Usage
//
//	execs, err := verify.ReadExecutions(file)
//	attempts, err := verify.ReadAttempts(other)
//	for _, v := range verify.All(execs, attempts) {
//		fmt.Println(v)
//	}
package verify
