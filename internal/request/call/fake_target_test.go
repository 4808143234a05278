package call

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
)

// targetFault is a simulated fault of a fakeTarget.
type targetFault int

const (
	faultNone targetFault = iota
	// faultHang: calls block until the fault is cleared and then run.
	faultHang
	// faultLoseResponse: calls run, but their stream is aborted before the response.
	faultLoseResponse
	// faultWrongCallID: responses carry the ID of another call.
	faultWrongCallID
	// faultDelay: calls are delayed in transit by networkDelay.
	faultDelay
	// faultError: calls run and return an error.
	faultError
	// faultSlow: calls take an additional slowServiceTime.
	faultSlow
	numTargetFaults
)

const (
	serviceTime     = 2 * time.Millisecond
	slowServiceTime = 400 * time.Millisecond
	networkDelay    = 300 * time.Millisecond
)

// fakeTarget is a replica of a transactional service. It counts the arrivals of each
// payload and returns a distinct response for each run.
type fakeTarget struct {
	chicoryv1connect.UnimplementedTransactionServiceHandler
	address string
	network *fakeNetwork
	closed  chan struct{} // closed at the end of the test
	server  *http.Server

	mu           sync.Mutex // guards the fields below
	fault        targetFault
	faultChanged chan struct{}
	arrivals     map[string]int
	responses    map[string]string // by key
	lastInvoke   *chicoryv1.InvokeRequest
	lastTimeout  time.Duration // time left until the deadline of the latest call on its arrival
}

func newFakeTarget(n *fakeNetwork, address string) *fakeTarget {
	d := &fakeTarget{
		address:      address,
		network:      n,
		closed:       make(chan struct{}),
		faultChanged: make(chan struct{}),
		arrivals:     map[string]int{},
		responses:    map[string]string{},
	}
	d.start()
	return d
}

// start starts to listen. After a kill it starts to listen again, with the arrivals
// and responses kept.
func (d *fakeTarget) start() {
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewTransactionServiceHandler(d))
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: mux, Protocols: p}
	d.server = s
	ln := d.network.listen(d.address)
	go func() { _ = s.Serve(ln) }()
}

// kill closes the listener and all connections.
func (d *fakeTarget) kill() {
	_ = d.server.Close()
}

// close shuts the target down at the end of the test.
func (d *fakeTarget) close() {
	close(d.closed)
	d.kill()
}

func (d *fakeTarget) setFault(f targetFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	close(d.faultChanged)
	d.faultChanged = make(chan struct{})
}

func (d *fakeTarget) currentFault() (targetFault, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.faultChanged
}

// sleep waits for t or until the end of the test.
func (d *fakeTarget) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.closed:
	}
}

func (d *fakeTarget) waitWhileHung() {
	for {
		f, changed := d.currentFault()
		if f != faultHang {
			return
		}
		select {
		case <-changed:
		case <-d.closed:
			return
		}
	}
}

// Invoke runs a call to completion, even if the router disconnects.
func (d *fakeTarget) Invoke(ctx context.Context, req *connect.Request[chicoryv1.InvokeRequest]) (*connect.Response[chicoryv1.InvokeResponse], error) {
	if f, _ := d.currentFault(); f == faultDelay {
		d.sleep(networkDelay)
	}
	d.waitWhileHung()
	payload := d.recordArrival(ctx, req.Msg)
	f, _ := d.currentFault()
	if f == faultSlow {
		d.sleep(slowServiceTime)
	}
	d.sleep(serviceTime)
	resp := &chicoryv1.InvokeResponse{CallId: req.Msg.GetCallId(), Payload: []byte(payload), Version: "v1"}
	switch f {
	case faultLoseResponse:
		panic(http.ErrAbortHandler)
	case faultWrongCallID:
		resp.CallId, resp.Payload = "another-call", []byte("the response to another call")
	case faultError:
		return nil, connect.NewError(connect.CodeInternal, errors.New("refused"))
	}
	return connect.NewResponse(resp), nil
}

// recordArrival counts an arrival and returns the response for this run.
func (d *fakeTarget) recordArrival(ctx context.Context, m *chicoryv1.InvokeRequest) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[string(m.GetPayload())]++
	d.lastInvoke = m
	if deadline, ok := ctx.Deadline(); ok {
		d.lastTimeout = time.Until(deadline)
	}
	response := fmt.Sprintf("%s %s %s run %d", d.address, m.GetMethod(), m.GetPayload(), d.arrivals[string(m.GetPayload())])
	if m.GetKey() != "" {
		d.responses[m.GetKey()] = response
	}
	return response
}

func (d *fakeTarget) LookupKey(_ context.Context, req *connect.Request[chicoryv1.LookupKeyRequest]) (*connect.Response[chicoryv1.LookupKeyResponse], error) {
	d.waitWhileHung()
	d.mu.Lock()
	defer d.mu.Unlock()
	response, ran := d.responses[req.Msg.GetKey()]
	return connect.NewResponse(&chicoryv1.LookupKeyResponse{Ran: ran, Payload: []byte(response), Version: "v1"}), nil
}

// arrivalsOf returns how often a payload arrived.
func (d *fakeTarget) arrivalsOf(payload string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals[payload]
}

// lastRequest returns the latest call that arrived.
func (d *fakeTarget) lastRequest() *chicoryv1.InvokeRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastInvoke
}

// receivedTimeout returns the timeout that the latest call carried in its transport
// headers, or 0 if there was none.
func (d *fakeTarget) receivedTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastTimeout
}
