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

// Load of one entry VM.
const (
	callersPerEntry = 3
	streamsPerEntry = 3
	callPause       = 30 * time.Millisecond
	streamPause     = 300 * time.Millisecond
	// callWait and streamWait are how long callers wait.
	callWait   = 2 * time.Second
	streamWait = 12 * time.Second
	// leaveShare of the streams' callers leave within leaveWithin.
	leaveShare  = 0.1
	leaveWithin = 800 * time.Millisecond
	// strangerShare of calls come with a key that nobody holds.
	strangerShare = 0.03
)

// load drives callers at all entry VMs.
type load struct {
	history *history
	// operator knows the routes that only one configuration has.
	operator *operator
	numbers  atomic.Int64 // ids that were given out
}

// newID returns an id of a kind that is not used yet.
func (l *load) newID(kind string) string {
	return fmt.Sprintf("%s-%d", kind, l.numbers.Add(1))
}

// caller is one caller, who keeps a connection open while it works.
type caller struct {
	load   *load
	entry  *machine
	client *http.Client
	rand   *rand.Rand
}

func (l *load) newCaller(entry *machine, r *rand.Rand) *caller {
	return &caller{load: l, entry: entry, rand: r, client: &http.Client{
		Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true},
	}}
}

// pause waits up to twice d, or until ctx ends.
func (c *caller) pause(ctx context.Context, d time.Duration) {
	pause.For(ctx, time.Duration(c.rand.Int64N(int64(2*d))))
}

// makeCalls makes one call after the other until ctx ends. What was begun is finished.
func (c *caller) makeCalls(ctx context.Context) {
	for ctx.Err() == nil {
		switch draw := c.rand.Float64(); {
		case draw < strangerShare:
			c.send(ask{kind: kindNoKey, path: standin.PathLook + "x", wait: callWait, key: "nobody's"})
		case draw < 0.5:
			c.send(ask{kind: kindPay, path: standin.PathPay + "x", wait: callWait})
		default:
			c.send(ask{kind: kindLook, path: standin.PathLook + "x", wait: callWait})
		}
		c.pause(ctx, callPause)
	}
}

// makeStreams asks for one stream after the other until ctx ends.
func (c *caller) makeStreams(ctx context.Context) {
	for ctx.Err() == nil {
		var leave time.Duration
		if c.rand.Float64() < leaveShare {
			leave = time.Duration(c.rand.Int64N(int64(leaveWithin))) + 1
		}
		c.send(ask{kind: kindDraft, path: standin.PathDraft + "x", wait: streamWait, leave: leave})
		c.pause(ctx, streamPause)
	}
}

// askForMarks asks for the routes that only one configuration has, until ctx ends.
func (c *caller) askForMarks(ctx context.Context) {
	for ctx.Err() == nil {
		if version, path := c.load.operator.mark(c.rand); path != "" {
			kind := kindMark
			if version == 0 {
				kind = kindBad
			}
			c.send(ask{kind: kind, path: path + "x", wait: callWait, version: version})
		}
		c.pause(ctx, callPause)
	}
}

// ask is what a caller asks for.
type ask struct {
	kind, path string
	// key is the caller's key if it is not the one of the team.
	key string
	// wait is how long the caller waits; it leaves after leave, if that is not 0.
	wait, leave time.Duration
	// version is the configuration that has the route, of kindMark.
	version int
}

// send sends one request and notes what came of it.
func (c *caller) send(a ask) *request {
	id := c.load.newID(a.kind)
	r := &request{id: id, entry: c.entry.id, uri: a.path, version: a.version, start: c.entry.current()}
	patience := a.wait + time.Second
	if a.leave > 0 {
		patience = a.leave
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := standin.Request{ID: id, Method: http.MethodPost, Path: a.path, Key: a.key, Timeout: a.wait, Stream: a.kind == kindDraft}.HTTPRequest(c.entry.link.listener.Addr().String())
	if err != nil {
		c.load.history.note("%v", err)
		return r
	}
	c.load.history.sending(id)
	r.sent = time.Now()
	r.status, r.signer, r.body, r.err = c.exchange(req.WithContext(ctx))
	r.ended = time.Now()
	r.left = ctx.Err() != nil
	if c.entry.current() != r.start {
		r.start = 0
	}
	c.load.history.answeredWith(r)
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
