package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of entries on a page of the list.
const pageSize = 50

// platform serves the list of replicas.
type platform struct {
	address string

	mu      sync.Mutex
	entries []string // JSON documents
}

func newPlatform() *platform { return &platform{} }

func (p *platform) listen() error {
	ln, err := net.Listen("tcp", "127.0.50.1:0")
	if err != nil {
		return err
	}
	p.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, p) }() // ends with the process
	return nil
}

// publish replaces the list.
func (p *platform) publish(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append([]string(nil), entries...)
}

// ServeHTTP implements http.Handler.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mu.Lock()
	entries := p.entries
	p.mu.Unlock()
	from, _ := strconv.Atoi(r.URL.Query().Get("page_token")) // none is the first page
	from = min(from, len(entries))
	to := min(from+pageSize, len(entries))
	next := "null"
	if to < len(entries) {
		next = strconv.Quote(strconv.Itoa(to))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next":%s}`, strings.Join(entries[from:to], ","), next)
}

// replica is a sound replica: it runs each request that names its ID, and states what it runs.
type replica struct {
	id, service, zone, address string
	work                       time.Duration
	record                     *record
	runs                       *runs
	server                     *http.Server

	mu      sync.Mutex
	running int
	tenant  string // of the last request that ran
}

// lastTenant returns the tenant that the last request that ran here stated.
func (r *replica) lastTenant() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tenant
}

const slots = 64

// startReplica starts a replica on a free port of a loopback address.
func startReplica(id, service, zone, ip string, work time.Duration, rec *record, all *runs) (*replica, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, address: ln.Addr().String(), work: work, record: rec, runs: all}
	r.server = &http.Server{Handler: r, IdleTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(ln) }() // returns when the server is closed
	return r, nil
}

// entry returns the replica's entry on the list.
func (r *replica) entry(state string) string {
	b, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"id": r.id, "service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots,
		"state": state, "warmup_left_ms": 0, "stage": "both", "models": []any{},
	})
	return string(b)
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=5")
	if want := req.Header.Get("Target-Instance"); want != "" && want != r.id {
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Attempt-Id")
	switch {
	case req.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", r.id)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the caller has left
	}
	r.mu.Lock()
	full := r.running >= slots
	if !full {
		r.running++
		r.tenant = req.Header.Get("Tenant")
	}
	running := r.running
	r.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.runs.add(id, r)
	time.Sleep(r.work)
	w.Header().Set("Server-Signature", "signed-by-"+r.id)
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", running, slots))
	_, _ = fmt.Fprintf(w, "%s %s %d bytes at %s", req.Method, req.URL.Path, len(body), r.service)
}

// runs has what replicas ran.
type runs struct {
	mu sync.Mutex
	by map[string][]*replica // by request ID
}

func newRuns() *runs { return &runs{by: map[string][]*replica{}} }

func (r *runs) add(id string, at *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[id] = append(r.by[id], at)
}

func (r *runs) of(id string) []*replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[id]
}

// orderTime is how long an order is sent again.
const orderTime = 20 * time.Second

// putManifest sends a manifest to the control VMs until one acknowledges it.
func (s *system) putManifest(document string) error {
	client := &http.Client{Timeout: 2 * time.Second}
	var last error
	for begin, n := time.Now(), 0; time.Since(begin) < orderTime; n++ {
		status, text, err := s.sendManifest(client, n%len(s.keepers), document)
		if err == nil && status == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("status %d %s, error %v", status, strings.TrimSpace(text), err)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no control VM acknowledged the manifest: %w", last)
}

// sendManifest sends a manifest to one control VM and returns its answer.
func (s *system) sendManifest(client *http.Client, keeper int, document string) (status int, text string, err error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+s.control(keeper)+"/config", strings.NewReader(document))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}
