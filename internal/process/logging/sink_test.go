package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedWriterDoesNotDelayLogging(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	defer close(w.release)
	s := NewSink(w)
	log := New(s, "entry", "e1")
	start := time.Now()
	const lines = 3 * queueLines
	for range lines {
		log.Info(RequestAnswered, Fields{"request": "r"})
	}
	assert.Assert(t, time.Since(start) < time.Second)
	assert.Assert(t, s.Dropped() >= lines-queueLines-lines/10, "%d dropped", s.Dropped())
	s.Close()
}

type buffer struct {
	mu sync.Mutex // guards b
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestSinkPreservesOrderBelowQueueLimit(t *testing.T) {
	w := &buffer{}
	s := NewSink(w)
	for i := range 100 {
		_, err := s.Write([]byte{byte('0' + i%10), '\n'})
		assert.NilError(t, err)
	}
	s.Close()
	assert.Equal(t, w.b.String(), strings.Repeat("0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n", 10))
	assert.Equal(t, s.Dropped(), int64(0))
}

// TestRateLimitReservesLinesForFailures checks that informational lines leave the
// reserve to failures, and that lines are allowed again later.
func TestRateLimitReservesLinesForFailures(t *testing.T) {
	now := time.Now()
	l := newLineLimiter(now)
	informational, failures := 0, 0
	for range 5 * lineBurst {
		if ok, _ := l.allow(now, false); ok {
			informational++
		}
	}
	for range lineBurst * 4 / 10 {
		if ok, _ := l.allow(now, true); ok {
			failures++
		}
	}
	assert.Assert(t, informational <= lineBurst/2, "%d informational lines", informational)
	assert.Equal(t, failures, lineBurst*4/10, "no failure is dropped")
	now = now.Add(10 * time.Second)
	ok, _ := l.allow(now, false)
	assert.Assert(t, ok)
}

func TestDroppedLinesAreReported(t *testing.T) {
	w := &buffer{}
	log := NewRateLimited(w, "entry", "e1")
	log.limiter.tokens = 1 + failureReserve*lineBurst
	log.Info(RequestAnswered, nil)
	log.Info(RequestAnswered, nil)
	log.Info(RequestAnswered, nil)
	log.Warn(RequestRefused, nil)
	text := w.b.String()
	assert.Assert(t, strings.Contains(text, string(LinesLeftOut)) && strings.Contains(text, "lines=2"), text)
}

// TestDroppedLinesAreCounted checks the count of lines dropped by the rate limit and by
// a full queue.
func TestDroppedLinesAreCounted(t *testing.T) {
	stalled := &stalledWriter{release: make(chan struct{})}
	sink := NewSink(stalled)
	log := NewRateLimited(sink, "entry", "v1")
	assert.Equal(t, log.Dropped(), int64(0))
	const lines = 4 * (queueLines + lineBurst)
	for range lines {
		log.Warn(RequestRefused, Fields{"request": "x"})
	}
	assert.Assert(t, log.Dropped() > lines/2)
	unlimited := New(sink, "entry", "v1")
	for range lines {
		unlimited.Warn(RequestRefused, Fields{"request": "x"})
	}
	assert.Assert(t, unlimited.Dropped() > lines-2*queueLines, "the sink accepted more lines than its queue holds")
	close(stalled.release)
	sink.Close()
}

// stalledWriter blocks every write until release is closed.
type stalledWriter struct{ release chan struct{} }

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}
