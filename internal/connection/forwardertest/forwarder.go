// Package forwardertest provides a UDP forwarder for tests and benchmarks. It forwards
// datagrams between two processes, counts their bytes and can block open flows, as a
// middlebox that has lost its state does.
package forwardertest

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

const maxDatagramBytes = 2048

// Forwarder forwards UDP datagrams to one address and the responses back.
type Forwarder struct {
	conn  net.PacketConn
	to    *net.UDPAddr
	bytes atomic.Int64

	mu    sync.Mutex // guards flows
	flows map[string]*flow
}

// flow carries the datagrams of one client address in both directions.
type flow struct {
	conn    *net.UDPConn
	blocked atomic.Bool
}

// Start starts a forwarder to the address to (IP:port) on an unused loopback port.
func Start(to string) (*Forwarder, error) {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &Forwarder{conn: conn, to: addr, flows: map[string]*flow{}}
	go f.forward()
	return f, nil
}

// Address returns the address that clients send to.
func (f *Forwarder) Address() string { return f.conn.LocalAddr().String() }

// Bytes returns the number of bytes forwarded in both directions, without UDP and IP
// headers.
func (f *Forwarder) Bytes() int64 { return f.bytes.Load() }

// BlockFlows permanently drops all datagrams from and to the client addresses seen so
// far. Datagrams of new client addresses are forwarded.
func (f *Forwarder) BlockFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.flows {
		x.blocked.Store(true)
	}
}

// Close stops the forwarder and closes its sockets.
func (f *Forwarder) Close() {
	_ = f.conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.flows {
		_ = x.conn.Close()
	}
}

// forward forwards the datagrams of clients, using one flow per client address.
func (f *Forwarder) forward() {
	b := make([]byte, maxDatagramBytes)
	for {
		n, from, err := f.conn.ReadFrom(b)
		if err != nil {
			return
		}
		x, err := f.flow(from)
		if err == nil && !x.blocked.Load() {
			f.bytes.Add(int64(n))
			_, _ = x.conn.Write(b[:n])
		}
	}
}

// flow returns the flow of a client address and creates it on first use.
func (f *Forwarder) flow(from net.Addr) (*flow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x, ok := f.flows[from.String()]; ok {
		return x, nil
	}
	conn, err := net.DialUDP("udp", nil, f.to)
	if err != nil {
		return nil, errors.Trace(err)
	}
	x := &flow{conn: conn}
	f.flows[from.String()] = x
	go f.forwardResponses(x, from)
	return x, nil
}

// forwardResponses forwards the datagrams that the server sends on a flow.
func (f *Forwarder) forwardResponses(x *flow, to net.Addr) {
	b := make([]byte, maxDatagramBytes)
	for {
		n, err := x.conn.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !x.blocked.Load() {
			f.bytes.Add(int64(n))
			_, _ = f.conn.WriteTo(b[:n], to)
		}
	}
}
