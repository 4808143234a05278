package exchange

import (
	"net/http"
	"strconv"
	"strings"
)

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHopHeaders removes from h the hop-by-hop headers, including those that the
// Connection header names.
func RemoveHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// writeTo writes the target's response to the caller unchanged.
func (t *attempt) writeTo(w http.ResponseWriter) {
	copyHeader(w.Header(), t.header)
	// Without a body, only the server of the caller's connection knows whether a length is due.
	if t.body.Len() > 0 && w.Header().Get("Content-Length") == "" {
		w.Header().Set("Content-Length", strconv.FormatInt(t.body.Len(), 10))
	}
	w.WriteHeader(t.status)
	_, _ = t.body.WriteTo(w) // a write error means that the caller has left
}

// copyHeader copies all headers but the hop-by-hop ones.
func copyHeader(to, from http.Header) {
	RemoveHopByHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps the server from guessing one
	}
}

// splitList returns the items of a comma-separated header value.
func splitList(line string) []string {
	var items []string
	for _, item := range strings.Split(line, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
