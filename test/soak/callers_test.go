package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Load on one entry VM.
const (
	callersPerEntry    = 3
	streamsPerEntry    = 3
	meanCallInterval   = 30 * time.Millisecond
	meanStreamInterval = 300 * time.Millisecond
	// callTimeout and streamTimeout are how long callers wait for an answer.
	callTimeout   = 2 * time.Second
	streamTimeout = 12 * time.Second
	// cancelShare is the share of streams whose callers go away before the end, within
	// cancelWithin.
	cancelShare  = 0.1
	cancelWithin = 800 * time.Millisecond
	// unknownKeyShare is the share of calls with an unknown key.
	unknownKeyShare = 0.03
)

// loadGenerator creates the callers of all entry VMs.
type loadGenerator struct {
	history *history
	// operator provides the marker routes.
	operator *operator
	lastID   atomic.Int64 // number of the last request ID
}

// newID returns an unused request ID of a kind.
func (l *loadGenerator) newID(kind string) string {
	return fmt.Sprintf("%s-%d", kind, l.lastID.Add(1))
}

// caller is one caller with a persistent connection to an entry VM.
type caller struct {
	load   *loadGenerator
	entry  *vm
	client *http.Client
	rand   *rand.Rand
}

func (l *loadGenerator) newCaller(entry *vm, r *rand.Rand) *caller {
	return &caller{load: l, entry: entry, rand: r, client: &http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
	}}
}

// randomPause waits up to twice d, or until ctx ends.
func (c *caller) randomPause(ctx context.Context, d time.Duration) {
	pause.For(ctx, time.Duration(c.rand.Int64N(int64(2*d))))
}

// makeCalls makes one call after the other until ctx ends. It completes the last call.
func (c *caller) makeCalls(ctx context.Context) {
	for ctx.Err() == nil {
		switch draw := c.rand.Float64(); {
		case draw < unknownKeyShare:
			c.send(requestSpec{kind: kindUnknownKey, path: standin.PathLook + "x", timeout: callTimeout, key: "nobody's"})
		case draw < 0.5:
			c.send(requestSpec{kind: kindNonIdempotent, path: standin.PathPay + "x", timeout: callTimeout})
		default:
			c.send(requestSpec{kind: kindIdempotent, path: standin.PathLook + "x", timeout: callTimeout})
		}
		c.randomPause(ctx, meanCallInterval)
	}
}

// makeStreams requests one stream after the other until ctx ends.
func (c *caller) makeStreams(ctx context.Context) {
	for ctx.Err() == nil {
		var cancelAfter time.Duration
		if c.rand.Float64() < cancelShare {
			cancelAfter = time.Duration(c.rand.Int64N(int64(cancelWithin))) + 1
		}
		c.send(requestSpec{kind: kindStream, path: standin.PathDraft + "x", timeout: streamTimeout, cancelAfter: cancelAfter})
		c.randomPause(ctx, meanStreamInterval)
	}
}

// requestMarkers calls marker routes until ctx ends.
func (c *caller) requestMarkers(ctx context.Context) {
	for ctx.Err() == nil {
		if version, path := c.load.operator.markerRoute(c.rand); path != "" {
			kind := kindMarker
			if version == 0 {
				kind = kindRefusedRoute
			}
			c.send(requestSpec{kind: kind, path: path + "x", timeout: callTimeout, version: version})
		}
		c.randomPause(ctx, meanCallInterval)
	}
}

// requestSpec describes a request to send.
type requestSpec struct {
	kind, path string
	// key overrides the key of the team unless it is empty.
	key string
	// timeout is how long the caller waits. If cancelAfter is not 0, the caller goes
	// away after that time.
	timeout, cancelAfter time.Duration
	// version is the version of the configuration that has the route, for kindMarker.
	version int
}

// send sends one request and records its answer.
func (c *caller) send(spec requestSpec) *request {
	id := c.load.newID(spec.kind)
	r := &request{id: id, entry: c.entry.id, uri: spec.path, version: spec.version, processStart: c.entry.currentStart()}
	clientTimeout := spec.timeout + time.Second
	if spec.cancelAfter > 0 {
		clientTimeout = spec.cancelAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := standin.Request{ID: id, Method: http.MethodPost, Path: spec.path, Key: spec.key, Timeout: spec.timeout, Stream: spec.kind == kindStream}.HTTPRequest(c.entry.proxy.listener.Addr().String())
	if err != nil {
		c.load.history.addViolation("%v", err)
		return r
	}
	c.load.history.recordSent(id)
	r.sent = time.Now()
	r.status, r.signer, r.body, r.err = c.exchange(req.WithContext(ctx))
	r.ended = time.Now()
	r.cancelled = ctx.Err() != nil
	if c.entry.currentStart() != r.processStart {
		r.processStart = 0
	}
	c.load.history.recordAnswer(r)
	return r
}

func (c *caller) exchange(req *http.Request) (status int, signer, body string, err error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	_, err = io.Copy(&text, resp.Body)
	return resp.StatusCode, standin.SignedBy(resp.Header), text.String(), err
}
