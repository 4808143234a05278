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

// deskFault is how a desk misbehaves.
type deskFault int

const (
	healthy deskFault = iota
	// frozen: calls wait until the fault is gone and then run.
	frozen
	// losesAnswers: calls run, but the connection is cut before the answer.
	losesAnswers
	// crosses: answers carry another call's identity.
	crosses
	// delays: calls travel for a while before they arrive.
	delays
	// refuses: calls run and are answered with an error.
	refuses
	// slow: calls take longer than a short deadline.
	slow
	deskFaults
)

const (
	deskTime      = 2 * time.Millisecond
	deskSlowTime  = 400 * time.Millisecond
	deskDelayTime = 300 * time.Millisecond
)

// desk is a transactional service with one replica that counts the arrivals of
// each payload and gives each run an answer of its own.
type desk struct {
	chicoryv1connect.UnimplementedTransactionServiceHandler
	address string
	network *network
	done    chan struct{} // closed at the end of the test
	server  *http.Server

	mu       sync.Mutex // guards the fields below
	fault    deskFault
	changed  chan struct{}
	arrivals map[string]int
	answers  map[string]string // by key
}

func newDesk(n *network, address string) *desk {
	d := &desk{
		address:  address,
		network:  n,
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
		arrivals: map[string]int{},
		answers:  map[string]string{},
	}
	d.start()
	return d
}

// start listens, also again after a kill. What ran before is remembered.
func (d *desk) start() {
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

// kill closes the listener and every connection.
func (d *desk) kill() {
	_ = d.server.Close()
}

// close ends the desk for good.
func (d *desk) close() {
	close(d.done)
	d.kill()
}

func (d *desk) setFault(f deskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *desk) currentFault() (deskFault, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.changed
}

// wait returns after t, or at the end of the test.
func (d *desk) wait(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.done:
	}
}

func (d *desk) waitThaw() {
	for {
		f, changed := d.currentFault()
		if f != frozen {
			return
		}
		select {
		case <-changed:
		case <-d.done:
			return
		}
	}
}

// Invoke runs a call to its end, also when its router went away.
func (d *desk) Invoke(_ context.Context, req *connect.Request[chicoryv1.InvokeRequest]) (*connect.Response[chicoryv1.InvokeResponse], error) {
	if f, _ := d.currentFault(); f == delays {
		d.wait(deskDelayTime)
	}
	d.waitThaw()
	payload := d.run(req.Msg)
	f, _ := d.currentFault()
	if f == slow {
		d.wait(deskSlowTime)
	}
	d.wait(deskTime)
	resp := &chicoryv1.InvokeResponse{CallId: req.Msg.GetCallId(), Payload: []byte(payload), Version: "v1"}
	switch f {
	case losesAnswers:
		panic(http.ErrAbortHandler)
	case crosses:
		resp.CallId, resp.Payload = "another-call", []byte("the answer to another call")
	case refuses:
		return nil, connect.NewError(connect.CodeInternal, errors.New("refused"))
	}
	return connect.NewResponse(resp), nil
}

// run counts an arrival and returns the answer of this run.
func (d *desk) run(m *chicoryv1.InvokeRequest) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals[string(m.GetPayload())]++
	answer := fmt.Sprintf("%s %s %s run %d", d.address, m.GetMethod(), m.GetPayload(), d.arrivals[string(m.GetPayload())])
	if m.GetKey() != "" {
		d.answers[m.GetKey()] = answer
	}
	return answer
}

func (d *desk) LookupKey(_ context.Context, req *connect.Request[chicoryv1.LookupKeyRequest]) (*connect.Response[chicoryv1.LookupKeyResponse], error) {
	d.waitThaw()
	d.mu.Lock()
	defer d.mu.Unlock()
	answer, ran := d.answers[req.Msg.GetKey()]
	return connect.NewResponse(&chicoryv1.LookupKeyResponse{Ran: ran, Payload: []byte(answer), Version: "v1"}), nil
}

// arrived returns how often the payload arrived.
func (d *desk) arrived(payload string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals[payload]
}
