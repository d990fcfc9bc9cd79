// Package fault is a forwarder for TCP and UDP that injects faults between
// processes: a link can drop silently, cut its connections, delay, lose in one
// direction, or forget the flows it carries while new ones work.
//
// # Usage
//
//	f := fault.New()
//	addr, err := f.Add(fault.Link{Name: "log", Network: "tcp", Listen: "127.0.0.1:0", Target: "127.0.0.1:7000"})
//	err = f.Set("log", fault.Rule{Drop: fault.Both})
//	err = f.Set("log", fault.Rule{})
//	err = f.Cut("log")
//	err = f.Forget("log")
//	f.Close()
package fault
