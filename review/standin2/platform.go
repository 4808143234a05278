package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an entry of the platform's list of replicas.
type entry struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmupMS int    `json:"warmup_left_ms"`
}

// listPage is the number of entries on a page of the list.
const listPage = 50

// listLag is the time by which the list lags.
const listLag = 800 * time.Millisecond

// platformList serves the platform's list of replicas.
type platformList struct {
	mu      sync.Mutex // guards entries
	entries []entry
}

// publish replaces the list after its lag.
func (l *platformList) publish(entries []entry) {
	time.AfterFunc(listLag, func() { l.set(entries) })
}

func (l *platformList) set(entries []entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// ServeHTTP implements http.Handler.
func (l *platformList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	all := l.entries
	l.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token")) // no token is the first page
	from = min(from, len(all))
	to := min(from+listPage, len(all))
	page := struct {
		Instances []entry `json:"instances"`
		Next      *string `json:"next"`
	}{Instances: append([]entry{}, all[from:to]...)}
	if to < len(all) {
		next := strconv.Itoa(to)
		page.Next = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // the reader may have left
}

// serve serves a handler at an address until close is called.
func serve(address string, h http.Handler) (server *http.Server, err error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server = &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }() // returns when the server is closed
	return server, nil
}
