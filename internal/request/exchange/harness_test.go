package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/request"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/quarantine"
	"github.com/chicoryswitch/chicoryswitch/internal/request/ratelimit"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// testProtocol is a minimal target protocol.
type testProtocol struct{}

func (testProtocol) EncodeDispatch(r *Request, d Dispatch) http.Header {
	h := http.Header{}
	h.Set("Id", r.ID)
	h.Set("Instance", d.Instance)
	h.Set("Left", strconv.FormatInt(d.Timeout.Milliseconds(), 10))
	if d.LastEventID > 0 {
		h.Set("Last-Event", strconv.Itoa(d.LastEventID))
	}
	if d.BackupTo != "" {
		h.Set("Backup", d.BackupTo)
	}
	if d.ContinueFrom != "" {
		h.Set("From", d.ContinueFrom)
	}
	return h
}

func (testProtocol) DecodeReply(h http.Header) ResponseMetadata {
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64) // 0 without one
	pace, _ := strconv.Atoi(h.Get("Pace"))             // 0 without one
	return ResponseMetadata{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Limit: limit, PacePercent: pace}
}

// testNetwork holds in-memory targets. Each handles one request per connection with its
// handler.
type testNetwork struct {
	mu      sync.Mutex // guards the fields below
	targets map[string]func(c net.Conn, r *http.Request)
	// ran counts the requests that targets started to run.
	ran int
	// reports holds the probe responses by address; an engine without one does not
	// respond.
	reports map[string]EngineReport
}

func newTestNetwork() *testNetwork {
	return &testNetwork{targets: map[string]func(net.Conn, *http.Request){}, reports: map[string]EngineReport{}}
}

func (w *testNetwork) set(address string, handler func(c net.Conn, r *http.Request)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets[address] = handler
}

// runs returns the number of requests that targets started to run.
func (w *testNetwork) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran
}

// inVirtualTime runs f in virtual time, and then lets the targets finish.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t)
		time.Sleep(time.Minute)
	})
}

func (w *testNetwork) countRun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran++
}

func (w *testNetwork) dial(_ context.Context, _, address string) (net.Conn, error) {
	w.mu.Lock()
	handler := w.targets[address]
	w.mu.Unlock()
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		handler(server, r)
	}()
	return client, nil
}

func (w *testNetwork) Report(ctx context.Context, address, _ string) (EngineReport, error) {
	w.mu.Lock()
	report, ok := w.reports[address]
	w.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return EngineReport{}, ctx.Err()
	}
	return report, nil
}

// orderedPicker picks the first target in order that is not excluded.
type orderedPicker []string

func (f orderedPicker) Pick(w request.Work, exclude []string) (request.Placement, error) {
	for _, address := range f {
		if !strings.Contains(strings.Join(exclude, " "), address) {
			return request.Placement{
				Target: &chicoryv1.Target{Address: address, Instance: "i-" + address},
				Done:   func(request.Result, time.Duration) {},
			}, nil
		}
	}
	return request.Placement{}, fault.New(fault.NoTarget, "no target of service %s", w.Route.GetService())
}

// unlimitedBudget allows every further attempt.
type unlimitedBudget struct{}

func (unlimitedBudget) OnRequest()                                    {}
func (unlimitedBudget) Allow(request.RetryKind) (bool, time.Duration) { return true, 0 }

// emptyBudget allows no further attempt.
type emptyBudget struct{}

func (emptyBudget) OnRequest()                                    {}
func (emptyBudget) Allow(request.RetryKind) (bool, time.Duration) { return false, time.Second }

// service returns a service over the network's targets, which also act as engines: the
// first half in zone a, the others in zone b.
func (w *testNetwork) service(budget request.RetryBudget, addresses ...string) (*Service, *placement.EngineTable) {
	engines := placement.NewEngineTable(placement.Defaults(), "a", request.Unlimited{})
	var listed []*chicoryv1.ListedTarget
	for i, address := range addresses {
		zone := "a"
		if i >= (len(addresses)+1)/2 {
			zone = "b"
		}
		listed = append(listed, &chicoryv1.ListedTarget{
			Address: address, Instance: "i-" + address, Service: "s", AvailabilityZone: zone,
		})
	}
	engines.Update(listed, func(string) int { return 50_000 })
	return New(Options{
		Pool:       http1.NewPoolWithDial(w.dial, http1.Defaults(), metrics.NewRegistry()),
		Protocol:   testProtocol{},
		Prober:     w,
		Picker:     orderedPicker(addresses),
		Loads:      observe.NewTable(observe.Defaults()),
		Engines:    engines,
		Limits:     ratelimit.NewTable(ratelimit.Options{EntryVMs: 20, Logger: logging.Discard(), Registry: metrics.NewRegistry()}),
		Quarantine: quarantine.NewTable(quarantine.Options{ID: "self", IsShared: IsShared, Random: func() float64 { return 0 }}),
		Budget:     func(string) request.RetryBudget { return budget },
		Logger:     logging.Discard(),
		Registry:   metrics.NewRegistry(),
		Settings:   Defaults(),
	}), engines
}

// list puts a list of targets in force, as a change of the configuration or of the list does.
func (s *Service) list(addresses ...string) {
	var listed []*chicoryv1.ListedTarget
	for _, address := range addresses {
		listed = append(listed, &chicoryv1.ListedTarget{Address: address, Instance: "i-" + address, Service: "s"})
	}
	s.opts.Engines.Update(listed, func(string) int { return 50_000 })
	s.opts.Limits.UpdateTargets(listed)
}

// admitted returns a request for a route with the given repetition.
func admitted(repetition declared.RetryPolicy, stream bool) *AdmittedRequest {
	now := time.Now()
	return &AdmittedRequest{
		Request: &Request{ID: "r1", ReceivedAt: now, Method: "POST", URI: "/x/", Host: "h", Body: []byte("body"), HasBody: true,
			Size: placement.Size{Prompt: 2500, Output: 500}, PromptID: "p1"},
		Route: &declared.Route{
			Name: "route", RetryPolicy: repetition, Stream: stream, MaxAttempts: 4,
			LatencyObjective: 200 * time.Millisecond, MaxEventGap: 700 * time.Millisecond,
		},
		Service:  &declared.Service{Name: "s", Engine: &declared.Engine{BacksUpKVCache: true}},
		Deadline: now.Add(10 * time.Second),
	}
}

// writeAnswer writes a complete response.
func writeAnswer(c net.Conn, status int, headers, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

const signedBy = "Id: r1\r\nSigned: yes\r\n"

// Handlers of call targets.
func (w *testNetwork) respondWith(status int, body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		w.countRun()
		writeAnswer(c, status, signedBy, body)
	}
}

func refuseRequest(c net.Conn, _ *http.Request) { writeAnswer(c, 503, "Not-Run: yes\r\n", "") }

func refuseInstance(c net.Conn, _ *http.Request) { writeAnswer(c, 421, "", "") }

func (w *testNetwork) truncateAnswer(c net.Conn, _ *http.Request) {
	w.countRun()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedBy+"Content-Length: 100\r\n\r\nhalf")
}

func (w *testNetwork) hang(c net.Conn, _ *http.Request) {
	w.countRun()
	_, _ = c.Read(make([]byte, 1)) // until the caller closes the connection
}

func (w *testNetwork) answerOtherRequest(c net.Conn, _ *http.Request) {
	w.countRun()
	writeAnswer(c, 200, "Id: other\r\nSigned: yes\r\n", "theirs")
}

// engine simulates a model engine that generates events at a fixed rate.
type engine struct {
	w *testNetwork
	// first is the time to the first event, gap the time between events.
	first, gap time.Duration
	// total is the number of events of a complete stream.
	total int
	// dieAfter is the number of events after which the engine fails; 0 means never.
	dieAfter int
	// silent: on failure, the engine stops sending instead of closing the connection.
	silent bool
	// copies holds the ids of the requests whose memory the engine keeps a copy of.
	copies map[string]bool
	// header holds further header lines of responses.
	header string
}

func (e *engine) serve(c net.Conn, r *http.Request) {
	if r.Header.Get("From") != "" && !e.copies[r.Header.Get("Id")] {
		refuseRequest(c, r)
		return
	}
	e.w.countRun()
	next, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	if r.Header.Get("From") == "" {
		time.Sleep(e.first)
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signedBy+e.header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for made := 0; next < e.total; made++ {
		if e.dieAfter > 0 && made == e.dieAfter {
			if e.silent {
				_, _ = c.Read(make([]byte, 1))
			} else {
				_, _ = io.WriteString(c, "9\r\nid: 99\nda") // within an event
			}
			return
		}
		time.Sleep(e.gap)
		next++
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", next, next)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// streamText returns the text of a complete stream.
func streamText(total int) string {
	var b strings.Builder
	for i := 1; i <= total; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

func kindOf(t *testing.T, err error) fault.Kind {
	t.Helper()
	var e *fault.Error
	if !errors.As(err, &e) {
		t.Fatalf("%v is not a *fault.Error", err)
	}
	return e.Kind
}
