package peers_test

import (
	"net"
	"sync"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
)

// relay forwards UDP packets to one address. It keeps a flow for each client port, as a
// NAT device or a stateful firewall does.
type relay struct {
	c      *qt.C
	in     *net.UDPConn
	to     *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	cut    atomic.Bool
	marks  chan struct{}
	closed sync.WaitGroup
}

// drainMark is the payload of a packet that Drain sends into the relay: once the relay has
// read it, it has read all packets before it.
const drainMark = "mark"

// flow is the state of one client port in the relay.
type flow struct {
	out     *net.UDPConn
	blocked atomic.Bool
}

func newRelay(c *qt.C, to string) *relay {
	addr, err := net.ResolveUDPAddr("udp", to)
	c.Assert(err, qt.IsNil)
	in, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	r := &relay{c: c, in: in, to: addr, flows: map[string]*flow{}, marks: make(chan struct{}, 1)}
	r.closed.Go(r.run)
	c.Cleanup(func() {
		_ = in.Close()
		r.each(func(f *flow) { _ = f.out.Close() })
		r.closed.Wait()
	})
	return r
}

// Addr returns the address that clients send to.
func (r *relay) Addr() string { return r.in.LocalAddr().String() }

// BlockFlows drops all later packets of the existing flows. New flows are forwarded.
func (r *relay) BlockFlows() { r.each(func(f *flow) { f.blocked.Store(true) }) }

// Drain waits until the relay has read everything that the server has sent to its one
// client. The server must be closed: Drain sends from its address.
func (r *relay) Drain() {
	from, err := net.ListenUDP("udp", r.to)
	r.c.Assert(err, qt.IsNil)
	defer from.Close()
	r.each(func(f *flow) {
		_, err := from.WriteTo([]byte(drainMark), f.out.LocalAddr())
		r.c.Assert(err, qt.IsNil)
	})
	receive(r.c, r.marks)
}

func (r *relay) each(do func(*flow)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		do(f)
	}
}

func (r *relay) run() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil && !f.blocked.Load() && !r.cut.Load() {
			_, _ = f.out.Write(buf[:n])
		}
	}
}

func (r *relay) flow(from *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[from.String()]; f != nil {
		return f
	}
	out, err := net.DialUDP("udp", nil, r.to)
	if err != nil {
		return nil
	}
	f := &flow{out: out}
	r.flows[from.String()] = f
	r.closed.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := out.Read(buf)
			if err != nil {
				return
			}
			if string(buf[:n]) == drainMark {
				r.marks <- struct{}{}
				continue
			}
			if !f.blocked.Load() && !r.cut.Load() {
				_, _ = r.in.WriteToUDP(buf[:n], from)
			}
		}
	})
	return f
}
