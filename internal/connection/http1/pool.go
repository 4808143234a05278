// Package http1 is an HTTP/1.1 client for targets. It never retries a request: each
// error states whether any byte of the request was written, so that the user of this
// package decides what may be sent again.
//
// A connection carries one request at a time and belongs to that request's goroutine.
// It returns to the pool only after a complete response that no further bytes follow.
package http1

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Settings configure the connections to targets.
type Settings struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the target announces no
	// keep-alive timeout.
	IdleTimeout time.Duration
	// IdleMargin is subtracted from the timeout that the target announces, so that no
	// request is sent while the target closes the connection.
	IdleMargin time.Duration
	// MaxIdle limits the idle connections to one target.
	MaxIdle int
	// MaxBodyMemory limits the memory in bytes of all long bodies that are being read. As
	// much at most is kept from incomplete bodies for later ones.
	MaxBodyMemory int64
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		DialTimeout:   250 * time.Millisecond, // some 100 round trips within a region
		IdleTimeout:   4 * time.Second,        // below the 5 s that servers usually keep
		IdleMargin:    time.Second,            // targets announce whole seconds
		MaxIdle:       16,                     // one entry VM's streams to one model target
		MaxBodyMemory: 12 << 20,               // an entry VM has 184 MB
	}
}

// Pool holds idle connections by target address. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dial     DialFunc
	dialed   metrics.Counter
	reused   metrics.Counter
	// bodyMemory counts the bodies that are being read.
	bodyMemory bodyMemory
	chunks     chunkList

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool that opens TCP connections and keeps its metrics in
// registry.
func NewPool(s Settings, registry metrics.Registry) *Pool {
	return NewPoolWithDial((&net.Dialer{Timeout: s.DialTimeout}).DialContext, s, registry)
}

// NewPoolWithDial is like NewPool, but opens connections with dial.
func NewPoolWithDial(dial DialFunc, s Settings, registry metrics.Registry) *Pool {
	return &Pool{
		settings:   s,
		dial:       dial,
		dialed:     metrics.GetOrRegisterCounter("target.connections.dialed", registry),
		reused:     metrics.GetOrRegisterCounter("target.connections.reused", registry),
		bodyMemory: bodyMemory{max: s.MaxBodyMemory},
		chunks:     chunkList{maxBytes: s.MaxBodyMemory},
		idle:       map[string][]*conn{},
	}
}

// connect returns the connection for a request.
func (p *Pool) connect(ctx context.Context, address string, r *Request) (*conn, error) {
	if r.NewConnection {
		return p.replace(ctx, address)
	}
	return p.get(ctx, address, r.Sends)
}

// get returns an idle connection that is still usable and not one of earlier, or a new one.
func (p *Pool) get(ctx context.Context, address string, earlier *Sends) (*conn, error) {
	for c := p.takeIdle(address, earlier); c != nil; c = p.takeIdle(address, earlier) {
		if time.Now().Before(c.idleUntil) && c.isIdle() {
			p.reused.Inc(1)
			c.reused = true
			return c, nil
		}
		c.close()
	}
	return p.open(ctx, address)
}

// replace closes an idle connection, if there is one, and returns a new one: the target limits the
// number of its connections.
func (p *Pool) replace(ctx context.Context, address string) (*conn, error) {
	if c := p.takeIdle(address, nil); c != nil {
		c.close()
	}
	return p.open(ctx, address)
}

// open returns a new connection.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.dialed.Inc(1)
	return newConn(raw), nil
}

// takeIdle removes and returns the most recently used idle connection that is not one of earlier, or
// nil.
func (p *Pool) takeIdle(address string, earlier *Sends) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !earlier.includes(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds a connection to the idle ones. keepAlive is the timeout that the target
// announced, or 0 if it announced none.
func (p *Pool) put(address string, c *conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = p.settings.IdleTimeout
	} else {
		keepAlive -= p.settings.IdleMargin
	}
	c.idleUntil = time.Now().Add(keepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	if keepAlive <= 0 || len(p.idle[address]) >= p.settings.MaxIdle {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the idle connections to one target, for example after it failed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, address)
	}
}
