package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkExchange measures a request and a response of 512 bytes.
func BenchmarkExchange(b *testing.B) {
	const length = 512
	target := newTarget(b, echo)
	for name, open := range openers(b) {
		b.Run(name, func(b *testing.B) {
			conn := open(b, target)
			message := make([]byte, length)
			for b.Loop() {
				_, err := conn.Write(message)
				assert.NilError(b, err)
				_, err = io.ReadFull(conn, message)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkStream measures the processor time of target, helper and client for a stream of
// 840 events, one per millisecond.
func BenchmarkStream(b *testing.B) {
	const events = 840
	event := bytes.Repeat([]byte("x"), 200)
	target := newTarget(b, func(conn *net.TCPConn) {
		for range events {
			if _, err := conn.Write(event); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	for name, open := range openers(b) {
		b.Run(name, func(b *testing.B) {
			before := processorTime(b)
			for b.Loop() {
				conn := open(b, target)
				n, err := io.Copy(io.Discard, conn)
				assert.NilError(b, err)
				assert.Equal(b, n, int64(events*len(event)))
				_ = conn.Close()
			}
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// openers returns functions that open direct and relayed connections.
func openers(b *testing.B) map[string]func(testing.TB, string) net.Conn {
	h := newHelper(b, ServerOptions{})
	c := newClient(b)
	return map[string]func(testing.TB, string) net.Conn{
		"direct": func(t testing.TB, target string) net.Conn {
			conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", target)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		},
		"relayed": func(t testing.TB, target string) net.Conn { return dial(t, c, h.address, target) },
	}
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
