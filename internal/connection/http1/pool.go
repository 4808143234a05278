// Package http1 sends requests to targets that speak HTTP/1.1. It never sends a
// request a second time by itself: each error says whether a byte of the request
// was written, so that the caller decides what may be repeated.
//
// A connection carries one request at a time and is owned by the request's task.
// It goes back to the pool only after an answer that ended as announced with no
// byte after it.
package http1

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Settings bound the connections to targets.
type Settings struct {
	// DialTimeout bounds the time to a new connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the target names no time.
	IdleTimeout time.Duration
	// IdleMargin is taken off the time that the target names, so that a request
	// doesn't meet the target's own close.
	IdleMargin time.Duration
	// MaxIdle bounds the idle connections of one target.
	MaxIdle int
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		DialTimeout: 250 * time.Millisecond, // some 100 round trips within a region
		IdleTimeout: 4 * time.Second,        // below the 5 s that servers usually keep
		IdleMargin:  time.Second,            // targets name whole seconds
		MaxIdle:     16,                     // a model target's streams of one entry VM
	}
}

// Pool keeps idle connections by target address. It is safe for concurrent use.
type Pool struct {
	settings Settings
	dial     Dial
	dialed   metrics.Counter
	reused   metrics.Counter

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool that counts in registry.
func NewPool(s Settings, registry metrics.Registry) *Pool {
	return NewPoolOn((&net.Dialer{Timeout: s.DialTimeout}).DialContext, s, registry)
}

// NewPoolOn is NewPool with another way to open connections.
func NewPoolOn(dial Dial, s Settings, registry metrics.Registry) *Pool {
	return &Pool{
		settings: s,
		dial:     dial,
		dialed:   metrics.GetOrRegisterCounter("target.connections.dialed", registry),
		reused:   metrics.GetOrRegisterCounter("target.connections.reused", registry),
		idle:     map[string][]*conn{},
	}
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if time.Now().Before(c.idleUntil) && c.isQuiet() {
			p.reused.Inc(1)
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.dialed.Inc(1)
	return newConn(raw), nil
}

// takeIdle returns the connection that was used last, or nil.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for further requests, for the time that the target
// named in its answer.
func (p *Pool) put(address string, c *conn, kept time.Duration) {
	if kept == 0 {
		kept = p.settings.IdleTimeout
	} else {
		kept -= p.settings.IdleMargin
	}
	c.idleUntil = time.Now().Add(kept)
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept <= 0 || len(p.idle[address]) >= p.settings.MaxIdle {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Drop closes the idle connections to a target, as after it was lost.
func (p *Pool) Drop(address string) {
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
