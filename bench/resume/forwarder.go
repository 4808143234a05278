package main

import (
	"io"
	"net/http"
	"time"
)

// forwarder is the baseline: a net/http reverse proxy that copies bytes as they arrive.
// If a connection is lost, so is its generation.
type forwarder struct {
	client  *http.Client
	network *faultNetwork
	server  *http.Server
	address string
	engine  string
}

func startForwarder(engine string) (*forwarder, error) {
	f := &forwarder{network: &faultNetwork{}, engine: engine}
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	f.client = &http.Client{Transport: &http.Transport{
		Protocols: p, DialContext: f.network.dial, DisableCompression: true, IdleConnTimeout: time.Minute,
	}}
	var err error
	f.server, f.address, err = serve(f)
	return f, err
}

func (f *forwarder) close() {
	_ = f.server.Close()
	f.network.closeConns(true)
}

// ServeHTTP implements http.Handler.
func (f *forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+f.engine+r.URL.Path, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	out.Header = r.Header
	resp, err := f.client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.CopyBuffer(flushWriter{w, http.NewResponseController(w)}, resp.Body, make([]byte, copyBuffer))
}

// copyBuffer is the size of the copy buffer of a response, in bytes.
const copyBuffer = 4 << 10

// flushWriter flushes after every write.
type flushWriter struct {
	w http.ResponseWriter
	c *http.ResponseController
}

func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err != nil {
		return n, err
	}
	return n, f.c.Flush()
}
