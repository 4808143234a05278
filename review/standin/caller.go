package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "desk.example"

// attempt is one attempt of a client, with its answer. The status is 0 if there was none.
type attempt struct {
	id     string
	status int
	signed bool
	body   string
}

// served reports whether the attempt got a server's successful answer.
func (a attempt) served() bool { return a.status == http.StatusOK && a.signed }

// promisesNotRun reports whether the answer says that the request has not run and never will.
func (a attempt) promisesNotRun() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// caller sends requests, each on a new connection and with its own ID.
type caller struct {
	b    *bed
	next atomic.Int64
}

// clients gives no connection to a second request, so that none is sent twice.
var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one attempt to one of the edge machines in turn.
func (c *caller) send(method, path string, wait time.Duration) attempt {
	n := c.next.Add(1)
	a := attempt{id: fmt.Sprintf("%08x", n)}
	edge := c.b.edges[int(n)%len(c.b.edges)]
	ctx, cancel := context.WithTimeout(context.Background(), wait+time.Second)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("commission " + a.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+edge+path, body)
	if err != nil {
		return a
	}
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Credential", "key-1")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	c.b.rec.note("client sends %s: %s %s to %s", a.id, method, path, edge)
	resp, err := clients.Do(req)
	if err != nil {
		c.b.rec.note("client: %s has no answer: %v", a.id, err)
		return a
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.b.rec.note("client: %s has no complete answer: %v", a.id, err)
		return a
	}
	a.status, a.signed, a.body = resp.StatusCode, resp.Header.Get("Server-Signature") != "", strings.TrimSpace(string(text))
	c.b.rec.note("client: %s is answered %d %q, signed by %q", a.id, a.status, a.body, resp.Header.Get("Server-Signature"))
	return a
}

// sendMany sends attempts at a rate for some time and returns all of them once they have ended.
func (c *caller) sendMany(method, path string, wait time.Duration, perSecond float64, length time.Duration) []attempt {
	var mu sync.Mutex // guards all
	var all []attempt
	var sent sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		sent.Go(func() {
			a := c.send(method, path, wait)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	sent.Wait()
	return all
}

func countServed(all []attempt) int {
	n := 0
	for _, a := range all {
		if a.served() {
			n++
		}
	}
	return n
}
