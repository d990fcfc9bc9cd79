package ident

import "fmt"

// RecordID names one record on the log. A record that was appended twice
// under one id counts once.
type RecordID struct {
	_  struct{} `cbor:",toarray"`
	By Incarnation
	N  uint64
}

// String returns "incarnation/n".
func (r RecordID) String() string {
	return fmt.Sprintf("%s/%d", r.By, r.N)
}
