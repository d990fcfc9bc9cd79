// Package admin is the operators' side of a daemon: the handler of its own
// listener, the client that the command line uses, and the text forms of what
// they exchange. It is never mounted on the caller listener.
//
// # Usage
//
//	handler := admin.New(source, control, admin.WithToken(token))
//	status, err := admin.NewClient().Status(ctx, "http://127.0.0.1:7000")
package admin
