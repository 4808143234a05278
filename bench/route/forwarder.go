package main

import (
	"io"
	"net/http"
)

// forwarder is the baseline hop: a net/http reverse proxy that copies bytes as they
// arrive.
type forwarder struct {
	target string
	client *http.Client
}

// ServeHTTP implements http.Handler.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.target+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	out.Header = r.Header
	out.ContentLength = r.ContentLength
	resp, err := f.client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	if resp.ContentLength >= 0 {
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	} else {
		f.streamBody(w, resp)
	}
	for name, values := range resp.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// copyBuffer is the size of the copy buffer of a streamed response, in bytes.
const copyBuffer = 4 << 10

// streamBody copies the body of a response and flushes after every read.
func (f *forwarder) streamBody(w http.ResponseWriter, resp *http.Response) {
	w.WriteHeader(resp.StatusCode)
	c := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil || c.Flush() != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
