// Package certs makes and loads the keys with which daemons know each other:
// a development authority, certificates that name one host each, and the
// mutual TLS settings of the peer transport. A daemon's key pair is read again
// when its files change, so keys rotate without a restart. The authority file is
// read once: a new authority is introduced by listing old and new one in it
// and restarting the daemons.
//
// # Usage
//
//	authority, err := certs.NewAuthority()
//	pair, err := authority.Issue("dallas-1")
//	err = pair.WriteFiles("dallas-1.crt", "dallas-1.key")
//	config, err := certs.ServerClientConfig("ca.crt", "dallas-1.crt", "dallas-1.key")
package certs
