package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// replica is one start of a replica. It serves calls.
type replica struct {
	entry   entry
	work    time.Duration
	running atomic.Int64
	served  *atomic.Int64
	server  *http.Server
}

// startReplica starts a replica at its address.
func startReplica(e entry, work time.Duration, served *atomic.Int64) (*replica, error) {
	r := &replica{entry: e, work: work, served: served}
	var err error
	r.server, err = serve(e.Address, r)
	return r, err
}

// stop ends a replica that has drained: requests that run are completed, and its channels are closed.
func (r *replica) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if r.server.Shutdown(ctx) != nil {
		_ = r.server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", r.entry.ID)
	if want := q.Header.Get("Target-Instance"); want != "" && want != r.entry.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		if q.URL.Path != healthPath {
			w.WriteHeader(http.StatusBadRequest)
		}
		return
	}
	w.Header().Set("Attempt-Id", id)
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	n := r.running.Add(1)
	defer r.running.Add(-1)
	if n > int64(r.entry.Slots) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	r.served.Add(1)
	body := fmt.Sprintf("answer to %s by %s", id, r.entry.ID)
	w.Header().Set("Server-Signature", "signed by "+r.entry.ID)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", n, r.entry.Slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // the caller may have left
}
