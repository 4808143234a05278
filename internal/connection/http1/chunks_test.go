package http1_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
)

// sendWithoutEnd serves a body that ends only when the client closes the connection.
func sendWithoutEnd(c net.Conn, r *bufio.Reader) {
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	sent := []byte(strings.Repeat("x", 32<<10))
	_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	for err == nil {
		_, err = c.Write(sent)
	}
}

// readIncomplete reads a body that is longer than its limit. It returns the memory in bytes
// that was allocated meanwhile, in the whole process.
func readIncomplete(t *testing.T, p *http1.Pool, address string) uint64 {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := get(t.Context(), p, address)
	runtime.ReadMemStats(&after)
	assert.ErrorContains(t, err, "body")
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against garbage from targets that send without end: chunks of incomplete bodies were
// lost at each garbage collection, and each body took its whole length anew.
func TestIncompleteBodiesReuseMemory(t *testing.T) {
	x, p := startTarget(t, sendWithoutEnd), newPool()
	readIncomplete(t, p, x.address)
	for range 5 {
		runtime.GC()
		runtime.GC() // a sync.Pool is empty after two collections
		allocated := readIncomplete(t, p, x.address)
		assert.Check(t, allocated < maxBodyBytes/4, "%d bytes were allocated", allocated)
	}
}

// Guards against memory that is kept without a limit after targets sent without end.
func TestMemoryKeptFromIncompleteBodiesIsBounded(t *testing.T) {
	x, settings := startTarget(t, sendWithoutEnd), http1.Defaults()
	settings.MaxBodyMemory = maxBodyBytes / 2
	p := http1.NewPool(settings, metrics.NewRegistry())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range 20 {
		readIncomplete(t, p, x.address)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Check(t, kept < settings.MaxBodyMemory+maxBodyBytes/2, "%d bytes are kept", kept)
	runtime.KeepAlive(p)
}

// Guards against a complete body that changes since its memory is used for another one.
func TestMemoryOfCompleteBodiesIsNotReused(t *testing.T) {
	text := strings.Repeat("a complete body ", 10<<10)
	complete := startTarget(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)))
	endless, p := startTarget(t, sendWithoutEnd), newPool()
	readIncomplete(t, p, endless.address) // the complete body takes its chunks
	x, err := p.Send(t.Context(), complete.address, &http1.Request{Method: "GET", URI: "/x", Host: "h"})
	assert.NilError(t, err)
	response, err := x.ReadResponse()
	assert.NilError(t, err)
	body, err := response.ReadAll(maxBodyBytes)
	assert.NilError(t, err)
	readIncomplete(t, p, endless.address)
	var b strings.Builder
	_, err = body.WriteTo(&b)
	assert.NilError(t, err)
	assert.Assert(t, b.String() == text)
}
