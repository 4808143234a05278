package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

const (
	// faultyTargets is the number of targets that send without end at the same time.
	faultyTargets = 32
	// maxHeapGrowth is the memory that they may cost; an entry VM has 184 MB.
	maxHeapGrowth = 32 << 20
	// maxEventGap is the longest gap of streams; sound ones send an event every 5 ms.
	maxEventGap = 2 * time.Second
	// maxAddedLatency is how much later a healthy call may be at p99 than one that is sent
	// to its target directly at the same time.
	maxAddedLatency = 50 * time.Millisecond
)

// endlessTarget sends bytes without end, over real connections, until the client closes.
type endlessTarget struct {
	address string
	// openFor receives how long each connection sent bytes.
	openFor chan time.Duration
	// onRequest is called before the first byte is sent.
	onRequest func()
	requested atomic.Bool
}

// startEndlessTarget sends head and then repeats body. A pause separates the repetitions.
func startEndlessTarget(t *testing.T, head, body string, pause time.Duration) *endlessTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	x := &endlessTarget{address: ln.Addr().String(), openFor: make(chan time.Duration, 100), onRequest: func() {}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go x.serve(c, head, body, pause)
		}
	}()
	return x
}

func (x *endlessTarget) serve(c net.Conn, head, body string, pause time.Duration) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	x.requested.Store(true)
	x.onRequest()
	begin := time.Now()
	repeated := []byte(body)
	_, err := io.WriteString(c, head)
	for err == nil {
		time.Sleep(pause)
		_, err = c.Write(repeated)
	}
	x.openFor <- time.Since(begin)
}

// startSoundTarget serves calls with a short response and streams with eventCount events.
func startSoundTarget(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		if r.URL.Path != "/stream" {
			_, _ = io.WriteString(w, "ok")
			return
		}
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event"), &from) // without the header, from the start
		for n := from + 1; n <= eventCount; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// loopbackService returns a service with real connections. Services with the same pool
// share its limits, as the requests of one entry VM do.
func loopbackService(pool *http1.Pool, addresses ...string) (*Service, *placement.EngineTable) {
	s, engines := newTestNetwork().service(unlimitedBudget{}, addresses...)
	s.opts.Pool = pool
	return s, engines
}

// serviceWithFaultyTarget returns a service whose first target is faulty and whose second one
// is sound. The sound one is listed as an engine once the faulty one has got a request.
func serviceWithFaultyTarget(pool *http1.Pool, x *endlessTarget, sound string) *Service {
	s, engines := loopbackService(pool, x.address, sound)
	listEngines(engines, x.address)
	x.onRequest = func() { listEngines(engines, x.address, sound) }
	return s
}

func loopbackRequest(id string, repetition declared.RetryPolicy, stream bool) *AdmittedRequest {
	a := admitted(repetition, stream)
	a.ID, a.URI = id, "/call"
	a.Route.MaxEventGap = maxEventGap
	if stream {
		a.URI = "/stream"
	}
	return a
}

// peakHeap samples the heap until stop is called, which returns its growth.
func peakHeap() (stop func() int64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := int64(m.HeapAlloc), atomic.Int64{}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), int64(m.HeapAlloc)))
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(done)
		<-stopped
		return peak.Load() - before
	}
}

// callers is the number of concurrent callers of sound targets.
const callers = 4

// latencySample collects the latency of calls.
type latencySample struct {
	mu        sync.Mutex // guards latencies
	latencies []time.Duration
}

// repeat repeats a call concurrently until stop is called.
func (l *latencySample) repeat(t *testing.T, call func(id string)) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				begin := time.Now()
				call(fmt.Sprint("sound-", i, "-", n))
				l.add(time.Since(begin))
				time.Sleep(time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (l *latencySample) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latencies = append(l.latencies, d)
}

func (l *latencySample) p99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.latencies)
	return l.latencies[len(l.latencies)*99/100]
}

// forwardedCall sends a call to a sound target through the service.
func forwardedCall(t *testing.T, s *Service, id string) {
	rec := httptest.NewRecorder()
	err := s.Serve(context.Background(), rec, loopbackRequest(id, declared.AtMostOnce, false))
	assert.Check(t, err == nil && rec.Body.String() == "ok", "a call to a sound target failed: %v", err)
}

// directCall sends a call to a sound target without the service.
func directCall(t *testing.T, address string) {
	resp, err := http.Get("http://" + address + "/call")
	if !assert.Check(t, err == nil, "%v", err) {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Check(t, err == nil, "%v", err)
	_ = resp.Body.Close()
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	chunkedHead = okHead + "Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamHead  = okHead + "Id: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n"
	threeEvents = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n"
)

var (
	long     = strings.Repeat("x", 32<<10)
	longBody = fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
)

// endlessCase is a way in which a target sends without end. In head, %s is the request's id.
type endlessCase struct {
	head, body string
	pause      time.Duration
}

var endlessCalls = map[string]endlessCase{
	"header line":             {okHead + "X: ", long, 0},
	"status line":             {"", long, 0},
	"headers":                 {okHead, strings.Repeat("a:\r\n", 1000), 0},
	"informational responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 50), 0},
	"lines":                   {"", strings.Repeat("no response\r\n", 1000), 0},
	"body until close":        {okHead + "Id: %s\r\nSigned: yes\r\n\r\n", long, 0},
	"body with a length":      {okHead + "Id: %s\r\nSigned: yes\r\nContent-Length: 1000000000000\r\n\r\n", long, 0},
	"chunked body":            {chunkedHead, longBody, 0},
	"chunk size":              {chunkedHead, strings.Repeat("0", 1<<10), 0},
	"chunk extension":         {chunkedHead + "5;", long, 0},
	"chunk extensions":        {chunkedHead, "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n", 0},
	"trailers":                {chunkedHead + "2\r\nok\r\n0\r\n", strings.Repeat("X: y\r\n", 1000), 0},
	"responses to others":     {"", okHead + "Id: other\r\nSigned: yes\r\nContent-Length: 32768\r\n\r\n" + long, 0},
	"refusal":                 {"HTTP/1.1 503 X\r\nNot-Run: yes\r\n\r\n", long, 0},
}

var endlessStreams = map[string]endlessCase{
	"event":                {streamHead + "id: 1\ndata: ", long, 0},
	"second event":         {streamHead + threeEvents + "id: 4\ndata: ", long, 0},
	"comments":             {streamHead + threeEvents, ": still here\n\n", 20 * time.Millisecond},
	"comments at once":     {streamHead + threeEvents, strings.Repeat(": still here\n\n", 1000), 0},
	"comment lines":        {streamHead + threeEvents, strings.Repeat(": still here\n", 1000), 0},
	"bytes now and then":   {streamHead + threeEvents + "id: 4\ndata: ", "x", 20 * time.Millisecond},
	"events without an id": {streamHead + threeEvents, "data: again\n\n", 20 * time.Millisecond},
	"relayed events":       {streamHead + threeEvents, "id: 3\ndata: token 3\n\n", 20 * time.Millisecond},
	"error body":           {"HTTP/1.1 500 X\r\nId: %s\r\nSigned: yes\r\n\r\n", long, 0},
}

// TestTargetsThatSendWithoutEnd serves requests from targets that send bytes until the
// client closes the connection, beside healthy calls.
func TestTargetsThatSendWithoutEnd(t *testing.T) {
	check := &endlessCheck{sound: startSoundTarget(t), pool: http1.NewPool(http1.Defaults(), metrics.NewRegistry())}
	for name, c := range endlessCalls {
		t.Run("repeatable call/"+name, func(t *testing.T) { check.run(t, c, declared.Retryable, false) })
		t.Run("call at most once/"+name, func(t *testing.T) { check.run(t, c, declared.AtMostOnce, false) })
	}
	for name, c := range endlessStreams {
		t.Run("stream/"+name, func(t *testing.T) { check.run(t, c, declared.Resumable, true) })
	}
	// On a machine without free processors, a call that passes one more goroutine takes up
	// to twice as long.
	if f, d := check.forwarded.p99(), check.direct.p99(); f > d+max(maxAddedLatency, d) {
		t.Errorf("p99 of healthy calls is %v, and %v without the service", f, d)
	}
}

// endlessCheck holds what the runs with faulty targets share.
type endlessCheck struct {
	sound string
	pool  *http1.Pool
	// Latencies of healthy calls through the service and of those sent directly.
	forwarded, direct latencySample
}

// run sends one request to each of several faulty targets at once.
func (k *endlessCheck) run(t *testing.T, c endlessCase, repetition declared.RetryPolicy, stream bool) {
	healthy, _ := loopbackService(k.pool, k.sound)
	var targets []*endlessTarget
	for i := range faultyTargets {
		head := strings.ReplaceAll(c.head, "%s", fmt.Sprint("r", i))
		targets = append(targets, startEndlessTarget(t, head, c.body, c.pause))
	}
	heap := peakHeap()
	stopForwarded := k.forwarded.repeat(t, func(id string) { forwardedCall(t, healthy, id) })
	stopDirect := k.direct.repeat(t, func(string) { directCall(t, k.sound) })
	var requests sync.WaitGroup
	for i, x := range targets {
		requests.Go(func() {
			requestFaulty(t, serviceWithFaultyTarget(k.pool, x, k.sound), x, loopbackRequest(fmt.Sprint("r", i), repetition, stream))
		})
	}
	requests.Wait()
	if growth := heap(); growth >= maxHeapGrowth {
		t.Errorf("the heap grew by %d bytes", growth)
	}
	stopForwarded()
	stopDirect()
	checkClosed(t, targets)
}

// checkClosed checks that the connections to faulty targets were closed early.
func checkClosed(t *testing.T, targets []*endlessTarget) {
	silence := time.Duration(Defaults().MaxSilenceShare * float64(maxEventGap))
	for _, x := range targets {
		if !x.requested.Load() {
			continue // on a busy machine, the hedge may return before the first attempt has begun
		}
		select {
		case open := <-x.openFor:
			assert.Check(t, open < silence+time.Second, "a faulty target could send for %v", open)
		case <-time.After(silence + time.Second):
			t.Error("the connection to a faulty target stays open")
		}
	}
}

// requestFaulty sends a request whose first target is faulty and whose second one is sound.
func requestFaulty(t *testing.T, s *Service, x *endlessTarget, a *AdmittedRequest) {
	rec := httptest.NewRecorder()
	err := s.Serve(context.Background(), rec, a)
	switch {
	case a.Route.RetryPolicy == declared.AtMostOnce && x.requested.Load():
		assert.Check(t, fault.Is(err, fault.OutcomeUnknown), "%v, %q", err, rec.Body.String()[:min(100, rec.Body.Len())])
	case a.Route.Stream:
		assert.Check(t, err == nil, "%v", err)
		checkNumberedEvents(t, rec.Body.String())
	default:
		assert.Check(t, err == nil && rec.Body.String() == "ok", "%v", err)
	}
}

// checkNumberedEvents checks that text has each numbered event once and in order, whatever
// comments and events without an id the faulty target sent in between.
func checkNumberedEvents(t *testing.T, text string) {
	next := 1
	for _, e := range strings.Split(text, "\n\n") {
		if !strings.HasPrefix(e, "id: ") {
			continue
		}
		assert.Check(t, e == fmt.Sprintf("id: %d\ndata: token %d", next, next), "event %d: %.100q", next, e)
		next++
	}
	assert.Check(t, next == eventCount+1, "the stream has %d events", next-1)
}
