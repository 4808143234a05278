// Package forwardertest stands between two processes in tests and benchmarks:
// it passes datagrams on, counts them, and can lose track of open flows.
package forwardertest

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

const datagramBytes = 2048

// Forwarder passes datagrams on to one address.
type Forwarder struct {
	conn  net.PacketConn
	to    *net.UDPAddr
	bytes atomic.Int64

	mu    sync.Mutex // guards flows
	flows map[string]*flow
}

// flow is what one client address sends and gets back.
type flow struct {
	conn   *net.UDPConn
	silent atomic.Bool
}

// Start returns a forwarder to the address (IP:port) to, on a port of its own.
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

// Address is where clients send to.
func (f *Forwarder) Address() string { return f.conn.LocalAddr().String() }

// Bytes is how much was passed on in both directions, without the headers of
// UDP and IP.
func (f *Forwarder) Bytes() int64 { return f.bytes.Load() }

// LoseFlows drops, for good, everything from and to the client addresses seen
// so far. New client addresses are served.
func (f *Forwarder) LoseFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.flows {
		x.silent.Store(true)
	}
}

// Close ends the forwarder.
func (f *Forwarder) Close() {
	_ = f.conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.flows {
		_ = x.conn.Close()
	}
}

// forward passes on what clients send, each over a flow of its own.
func (f *Forwarder) forward() {
	b := make([]byte, datagramBytes)
	for {
		n, from, err := f.conn.ReadFrom(b)
		if err != nil {
			return
		}
		x, err := f.flow(from)
		if err == nil && !x.silent.Load() {
			f.bytes.Add(int64(n))
			_, _ = x.conn.Write(b[:n])
		}
	}
}

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
	go f.back(x, from)
	return x, nil
}

// back passes on what the server answers.
func (f *Forwarder) back(x *flow, to net.Addr) {
	b := make([]byte, datagramBytes)
	for {
		n, err := x.conn.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && !x.silent.Load() {
			f.bytes.Add(int64(n))
			_, _ = f.conn.WriteTo(b[:n], to)
		}
	}
}
