package exchange

import (
	"net/http"
	"strconv"
	"strings"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopHeaders removes from h what concerns one connection only, which includes
// the headers that Connection names.
func DropHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// passOn writes a target's answer to the caller as it came.
func (t *attempt) passOn(w http.ResponseWriter) {
	copyHeader(w.Header(), t.header)
	if t.status != http.StatusNoContent && t.status != http.StatusNotModified && w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(len(t.body)))
	}
	w.WriteHeader(t.status)
	_, _ = w.Write(t.body) // a caller that left is told nothing more
}

// copyHeader copies what concerns the answer and not the target's connection.
func copyHeader(to, from http.Header) {
	DropHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // or the server would guess one
	}
}

// splitList returns the items of a header that holds a list.
func splitList(line string) []string {
	var items []string
	for _, item := range strings.Split(line, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
