package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host       = "desk.example"
	healthPath = "/healthz"
	service    = "desk"
	startLimit = 20 * time.Second
)

// bed is a deployment with the stand-ins around it.
type bed struct {
	*deployment
	record  *record
	trouble bool
	list    *platformList

	listServer *http.Server

	mu       sync.Mutex // guards the fields below
	replicas []*replica
	started  int
	served   atomic.Int64
}

// newBed prepares a deployment on the first free loopback network.
func newBed(programs string, trouble bool, r *record) (*bed, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{deployment: &deployment{folder: folder, programs: programs}, record: r, trouble: trouble, list: &platformList{}}
	for n := 20; n < 250 && b.listServer == nil; n++ {
		b.network = fmt.Sprintf("127.%d", n)
		b.listServer, err = serve(b.platform(), b.list)
	}
	return b, err
}

// close ends everything that was started.
func (b *bed) close() {
	b.deployment.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.replicas {
		_ = r.server.Close()
	}
	_ = b.listServer.Close()
	_ = os.RemoveAll(b.folder)
}

// addReplica starts a replica at a new address.
func (b *bed) addReplica(slots int, work time.Duration) (*replica, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started++
	e := entry{
		ID: fmt.Sprintf("i-%d", b.started), Service: service, Zone: "zone-a", Version: "v1", Slots: slots, State: "ready",
		Address: fmt.Sprintf("%s.%d.%d:%d", b.network, 10+b.started/250, 1+b.started%250, portReplica),
	}
	r, err := startReplica(e, work, &b.served)
	if err != nil {
		return nil, err
	}
	b.replicas = append(b.replicas, r)
	return r, nil
}

// remove takes a replica that has ended off the list.
func (b *bed) remove(r *replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, x := range b.replicas {
		if x == r {
			b.replicas = append(b.replicas[:i:i], b.replicas[i+1:]...)
			return
		}
	}
}

// drain marks a replica as draining.
func (b *bed) drain(r *replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.entry.State = "draining"
}

// entriesNow returns the list as it is now.
func (b *bed) entriesNow() []entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []entry
	for _, r := range b.replicas {
		all = append(all, r.entry)
	}
	return all
}

// manifest returns a manifest with one route of calls that may be repeated.
func manifest(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-look","host":%q,"path_prefix":"/look/","type":"safe","timeout_ms":2500,`+
		`"target_latency_ms":150,"priority":2,"service":%q,"max_attempts":5,"public":true}],`+
		`"services":[{"name":%q,"health_path":%q,"max_connections":370,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`,
		version, host, service, service, healthPath)
}

// putManifest sends a manifest to any control machine until it is acknowledged.
func (b *bed) putManifest(document string) error { return b.putManifestWithin(document, startLimit) }

func (b *bed) putManifestWithin(document string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		address := fmt.Sprintf("http://%s:%d/config", b.keeperIP(n%len(b.keepers)), portControl)
		q, err := http.NewRequest(http.MethodPut, address, strings.NewReader(document))
		if err != nil {
			return err
		}
		if resp, err := client.Do(q); err == nil {
			_ = resp.Body.Close() // the status says all
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the manifest was not acknowledged in %v", limit)
}

// readiness asks an entry machine each second whether it is ready, on one channel.
type readiness struct {
	client *http.Client
	url    string
}

func (b *bed) readiness(n int) *readiness {
	return &readiness{&http.Client{Timeout: time.Second}, fmt.Sprintf("http://%s:%d/ready", b.entryIP(n), portReady)}
}

// ask reports whether the machine says that it is ready.
func (r *readiness) ask() bool {
	resp, err := r.client.Get(r.url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // keeps the channel
	return resp.StatusCode == http.StatusOK
}

var lastID atomic.Int64

// call sends a call with the client and returns the status, 0 if there was no answer.
func (b *bed) call(client *http.Client, n int, wait time.Duration) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	id := fmt.Sprintf("%016x", lastID.Add(1))
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/look/%s", b.entryIP(n), portCallers, id), nil)
	if err != nil {
		return 0, "", err
	}
	q.Host = host
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	resp, err := client.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// newConsumer returns a client with one channel of its own.
func newConsumer() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxConnsPerHost: 1,
	}}
}
