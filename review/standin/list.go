package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is how long a change takes to appear on the list, lag_ms of the settings.
const listLag = 800 * time.Millisecond

// entry is an entry of the platform's list.
type entry struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmupMs int    `json:"warmup_left_ms"`
	// Born is the Unix millisecond of the server's start.
	Born int64 `json:"born"`
}

// list is the platform's list of servers.
type list struct {
	server *http.Server

	mu sync.Mutex // guards history
	// history holds the versions of the list with the times from which they are shown.
	history []listVersion
}

type listVersion struct {
	at      time.Time
	entries []entry
}

// serveList serves an empty list at address.
func serveList(address string) (*list, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &list{}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(ln) }() // ends with close
	return l, nil
}

func (l *list) close() { _ = l.server.Close() }

// set adds an entry, or replaces the one with the same ID.
func (l *list) set(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []entry
	if n := len(l.history); n > 0 {
		entries = append(entries, l.history[n-1].entries...)
	}
	replaced := false
	for i := range entries {
		if entries[i].ID == e.ID {
			entries[i], replaced = e, true
		}
	}
	if !replaced {
		entries = append(entries, e)
	}
	l.history = append(l.history, listVersion{time.Now().Add(listLag), entries})
}

// ServeHTTP implements http.Handler.
func (l *list) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	shown, now := []entry{}, time.Now()
	for _, v := range l.history {
		if v.at.Before(now) {
			shown = v.entries
		}
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": shown, "next": nil}) // the reader has left
}
