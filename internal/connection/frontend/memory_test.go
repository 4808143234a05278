package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// listenWithin is like listen, with a budget for callers.
func listenWithin(t *testing.T, memory int64, h handlerFunc) (*testFrontend, *intake.Budget) {
	t.Helper()
	b := intake.NewBudget(memory, metrics.NewRegistry())
	return listenWithBudget(t, func(ln net.Listener) net.Listener { return ln }, h, b), b
}

func awaitNothingReserved(t *testing.T, b *intake.Budget) {
	t.Helper()
	for range 500 {
		if b.Reserved() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes are reserved", b.Reserved())
}

// readText returns the status line and the body of the next response.
func readText(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

// TestStalledBodiesMakeRoomForOrdinaryRequests guards against ordinary requests that are refused while
// others that never end hold all of the memory for bodies, and against a body that is given up without a
// complete refusal.
func TestStalledBodiesMakeRoomForOrdinaryRequests(t *testing.T) {
	for name, framing := range map[string]string{
		"length":       "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 199999),
		"one chunk":    "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + strings.Repeat("x", 199999),
		"small chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 195),
	} {
		t.Run(name, func(t *testing.T) {
			x, b := listenWithin(t, 1<<20, answerBody)
			x.apply(2, declared.Limits{BodyBytes: 250000, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
			var conns []net.Conn
			var readers []*bufio.Reader
			for range 8 {
				c, r := x.dial(t)
				conns, readers = append(conns, c), append(readers, r)
				go func() { _, _ = fmt.Fprint(c, "POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"+framing) }()
			}
			time.Sleep(time.Second)
			c, r := x.dial(t)
			for range 3 {
				text, err := exchangeOn(c, r, strings.Repeat("b", 40000))
				assert.NilError(t, err)
				assert.Equal(t, len(text), 40000)
			}
			resp, text := readText(t, readers[answeredFirst(readers)])
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, text, string(fault.NotReady)+"\n")
			for _, c := range append(conns, c) {
				_ = c.Close()
			}
			awaitNothingReserved(t, b)
		})
	}
}

// answeredFirst returns the index of the reader that has a response first.
func answeredFirst(readers []*bufio.Reader) int {
	first := make(chan int, len(readers))
	for i, r := range readers {
		go func() {
			if _, err := r.Peek(1); err == nil {
				first <- i
			}
		}()
	}
	return <-first
}

// TestRequestsWithinTheLimitsAreServed guards against a single request that is refused on the smallest
// entry VM, though it keeps to the limits.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	const headerBytes, bodyBytes = 16 << 10, 4 << 20
	head := func(line string) string {
		text := "POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
		for len(text)+len(line) < headerBytes-100 {
			text += line
		}
		return text
	}
	body := strings.Repeat("x", bodyBytes)
	chunk := strings.Repeat("x", 1024)
	for name, text := range map[string]string{
		"few headers":  head("Long: "+strings.Repeat("v", 4000)+"\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + body,
		"many headers": head("a: b\r\n") + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + body,
		"one chunk":    head("a: b\r\n") + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, body),
		"small chunks": head("a: b\r\n") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+chunk+"\r\n", bodyBytes/1024) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x, b := listenWithin(t, 144e6/4, answerBody)
			x.apply(2, declared.Limits{HeaderBytes: headerBytes, BodyBytes: bodyBytes, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
			c, r := x.dial(t)
			for range 2 { // the second one on a kept connection
				go func() { _, _ = io.WriteString(c, text) }()
				resp, answer := readText(t, r)
				assert.Equal(t, resp.StatusCode, http.StatusOK, "%.100s", answer)
				assert.Equal(t, len(answer), bodyBytes)
			}
			_ = c.Close()
			awaitNothingReserved(t, b)
		})
	}
}

// TestPipelinedRequestsAreServed guards against a request that is refused because a part of it was read
// together with the one before, so that its body is taken for a head.
func TestPipelinedRequestsAreServed(t *testing.T) {
	x, b := listenWithin(t, 1<<20, answerBody)
	x.apply(2, declared.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	body := strings.Repeat("\r\n", 9000)
	request := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for shift := range 60 {
		c, r := x.dial(t)
		first := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nId: r1\r\nPad: %s\r\nContent-Length: 3\r\n\r\nabc", strings.Repeat("p", 3930+shift))
		go func() { _, _ = io.WriteString(c, first+request+request) }()
		for _, want := range []string{"abc", body, body} {
			resp, text := readText(t, r)
			assert.Equal(t, resp.StatusCode, http.StatusOK, "shift %d: %s", shift, text)
			assert.Equal(t, len(text), len(want))
		}
		_ = c.Close()
	}
	awaitNothingReserved(t, b)
}
