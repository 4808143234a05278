package intake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// fakeListener returns one end of each pipe that dial opens.
type fakeListener struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer serves requests on pipes.
type testServer struct {
	listener *fakeListener
	budget   *Budget
	http     *http.Server
}

func serve(t *testing.T, limits Limits, total int64, h http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{listener: &fakeListener{conns: make(chan net.Conn), ended: make(chan struct{})}, budget: newBudget(total)}
	limits.Name = "test"
	s.http = &http.Server{Handler: h, ConnState: Track, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(Listen(s.listener, limits, s.budget)) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	ours, theirs := net.Pipe()
	s.listener.conns <- theirs
	t.Cleanup(func() { _ = ours.Close() })
	assert.NilError(t, ours.SetDeadline(time.Now().Add(20*time.Second)))
	return ours, bufio.NewReader(ours)
}

// send writes in the background, since a pipe has no buffer.
func send(c net.Conn, text string) { go func() { _, _ = io.WriteString(c, text) }() }

func readStatus(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp
}

func answer(http.ResponseWriter, *http.Request) {}

func awaitZero(t *testing.T, b *Budget) {
	t.Helper()
	for range 500 {
		if b.Reserved() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are reserved at the end", b.Reserved())
}

// TestScannerIsIndependentOfReads guards against a head that is counted in another way if it arrives in
// pieces, and against an end that differs from that of net/http.
func TestScannerIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"\r", "\n", "\r\n", "a: b", "x"})).Draw(t, "text"), ""))
		var whole, pieces headScanner
		wholeEnded := whole.scan(text)
		ended := false
		for rest := text; len(rest) > 0 && !ended; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			ended = pieces.scan(rest[:n])
			rest = rest[n:]
		}
		if whole != pieces || wholeEnded != ended {
			t.Fatalf("%q: %+v %t in one read, %+v %t in several", text, whole, wholeEnded, pieces, ended)
		}
	})
}

// TestScannerFindsTheEndOfHeads guards against a body that is counted as a head, or a head that isn't.
func TestScannerFindsTheEndOfHeads(t *testing.T) {
	for text, want := range map[string]headScanner{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nbody\n\n": {bytes: 24, lines: 2},
		"\r\n\n\r\nGET / HTTP/1.1\n\n":           {bytes: 21, lines: 1, emptyLines: 3},
	} {
		var s headScanner
		assert.Assert(t, s.scan([]byte(text)))
		assert.Equal(t, s, want, "%q", text)
	}
}

// TestLimitsOfHeads guards against heads without end, and against connections that are closed without a
// complete refusal.
func TestLimitsOfHeads(t *testing.T) {
	limits := Limits{Connections: 10, HeadBytes: func() int { return 1000 }, HeadLines: 20, EmptyLines: 5}
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"long line":   {"GET /" + strings.Repeat("x", 2000), http.StatusRequestHeaderFieldsTooLarge},
		"many lines":  {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 30), http.StatusRequestHeaderFieldsTooLarge},
		"empty lines": {strings.Repeat("\r\n", 30), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, limits, 1<<20, answer)
			conn, r := s.dial(t)
			send(conn, c.text)
			resp := readStatus(t, r)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, resp.Close)
			_ = conn.Close()
			awaitZero(t, s.budget)
		})
	}
}

// TestHeadsBeyondTheBudgetAreRefused guards against heads of legal size that take more memory than there
// is, and against an ordinary request that is refused beside them.
func TestHeadsBeyondTheBudgetAreRefused(t *testing.T) {
	s := serve(t, Limits{Connections: 50}, 1<<20, answer)
	for range 20 {
		conn, _ := s.dial(t)
		send(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 600))
	}
	conn, r := s.dial(t)
	for range 3 {
		send(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.Equal(t, readStatus(t, r).StatusCode, http.StatusOK)
	}
	assert.Assert(t, s.budget.Reserved() <= 1<<20)
	_ = s.http.Close()
	awaitZero(t, s.budget)
}

// TestConnectionsBeyondTheLimit guards against descriptors without end, and against an ordinary client that
// gets no connection because others hold theirs and send nothing.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	const most = 5
	s := serve(t, Limits{Connections: most}, 1<<20, answer)
	for range 4 * most {
		s.dial(t)
		assert.Assert(t, s.budget.Use("connections", 0).Reserved() <= most*connectionCost)
	}
	conn, r := s.dial(t)
	send(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, readStatus(t, r).StatusCode, http.StatusOK)
	_ = s.http.Close()
	awaitZero(t, s.budget)
}

// TestServedConnectionsAreKept guards against a request that is being served and loses its connection to a
// new one, which must be refused as not run instead.
func TestServedConnectionsAreKept(t *testing.T) {
	finish := make(chan struct{})
	s := serve(t, Limits{Connections: 2}, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
		<-finish
		_, _ = fmt.Fprint(w, "served")
	})
	var readers []*bufio.Reader
	for range 2 {
		conn, r := s.dial(t)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		readers = append(readers, r)
	}
	time.Sleep(stallTime + 50*time.Millisecond)
	_, refused := s.dial(t)
	resp := readStatus(t, refused)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	close(finish)
	for _, r := range readers {
		assert.Equal(t, readStatus(t, r).StatusCode, http.StatusOK)
	}
}

// TestIdleConnectionsMakeRoom guards against a new client that is refused since kept connections that do
// nothing take all of the room.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := serve(t, Limits{Connections: 1}, 1<<20, answer)
	for range 3 {
		conn, r := s.dial(t)
		send(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.Equal(t, readStatus(t, r).StatusCode, http.StatusOK)
	}
}

// TestRequestThatWasReadIsNotGivenUp guards against a request that is passed on and cancelled, because its
// connection was chosen to make room just before its head arrived.
func TestRequestThatWasReadIsNotGivenUp(t *testing.T) {
	fake := &fakeListener{conns: make(chan net.Conn, 1), ended: make(chan struct{})}
	l := Listen(fake, Limits{Name: "test", Connections: 1}, newBudget(1<<20))
	ours, theirs := net.Pipe()
	fake.conns <- theirs
	accepted, err := l.Accept()
	assert.NilError(t, err)
	conn := accepted.(*Conn)
	conn.enter(phaseIdle)
	victim := l.selectVictim(time.Now())
	assert.Equal(t, victim, conn)
	send(ours, "GET / HTTP/1.1\r\n\r\n")
	n, err := conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.Equal(t, n, 18)
	victim.giveUpIdle(time.Now())
	assert.Assert(t, !conn.givenUp)
}

func BenchmarkScan(b *testing.B) {
	head := []byte("POST /pay/fare HTTP/1.1\r\nHost: desk.example\r\n" + strings.Repeat("Some-Header: some value of a header\r\n", 12) + "\r\n")
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		var s headScanner
		s.scan(head)
	}
}

// TestRefusalsAreCountedAndLogged guards against clients that are refused without a trace, and against a line
// for each of many refusals.
func TestRefusalsAreCountedAndLogged(t *testing.T) {
	var log bytes.Buffer
	var mu sync.Mutex
	registry := metrics.NewRegistry()
	b := NewProcessBudget(1<<20, registry, logging.New(lockedWriter{&mu, &log}, "entry", "e1"))
	l := Listen(&fakeListener{}, Limits{Name: "callers", Connections: 1}, b)
	for range 5 {
		l.report(reasonHeadLines)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, strings.Count(log.String(), "event=clients_refused"), 1, "%s", &log)
	for _, want := range []string{"port=callers", "reason=head_lines", "refused=1"} {
		assert.Assert(t, strings.Contains(log.String(), want), "%s", &log)
	}
	assert.Equal(t, metrics.GetOrRegisterCounter("clients.refused.head_lines", registry).Count(), int64(5))
}

type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}
