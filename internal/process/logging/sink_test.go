package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stuck is a reader that has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStoppedReaderDelaysNothing(t *testing.T) {
	w := stuck{make(chan struct{})}
	defer close(w.release)
	s := NewSink(w)
	log := New(s, "entry", "e1")
	begin := time.Now()
	const lines = 3 * sinkLines
	for range lines {
		log.Info(RequestAnswered, Fields{"request": "r"})
	}
	assert.Assert(t, time.Since(begin) < time.Second)
	assert.Assert(t, s.LeftOut() >= lines-sinkLines-lines/10, "%d left out", s.LeftOut())
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

func TestSinkKeepsOrderAndLosesNothingWithinItsRoom(t *testing.T) {
	w := &buffer{}
	s := NewSink(w)
	for i := range 100 {
		_, err := s.Write([]byte{byte('0' + i%10), '\n'})
		assert.NilError(t, err)
	}
	s.Close()
	assert.Equal(t, w.b.String(), strings.Repeat("0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n", 10))
	assert.Equal(t, s.LeftOut(), int64(0))
}

// TestLinesAreBounded: ordinary events leave room for failures, what is left out is
// counted, and lines come again later.
func TestLinesAreBounded(t *testing.T) {
	now := time.Now()
	l := newLimit(now)
	ordinary, failures := 0, 0
	for range 5 * lineBurst {
		if ok, _ := l.allow(now, false); ok {
			ordinary++
		}
	}
	for range lineBurst * 4 / 10 {
		if ok, _ := l.allow(now, true); ok {
			failures++
		}
	}
	assert.Assert(t, ordinary <= lineBurst/2, "%d ordinary lines", ordinary)
	assert.Equal(t, failures, lineBurst*4/10, "no failure is left out")
	now = now.Add(10 * time.Second)
	ok, _ := l.allow(now, false)
	assert.Assert(t, ok)
}

func TestLeftOutLinesAreTold(t *testing.T) {
	w := &buffer{}
	log := NewBounded(w, "entry", "e1")
	log.limit.lines = 1 + ordinaryReserve*lineBurst
	log.Info(RequestAnswered, nil)
	log.Info(RequestAnswered, nil)
	log.Info(RequestAnswered, nil)
	log.Warn(RequestRefused, nil)
	text := w.b.String()
	assert.Assert(t, strings.Contains(text, string(LinesLeftOut)) && strings.Contains(text, "lines=2"), text)
}

// TestLinesLeftOutAreCounted, those over the bound and those that nobody reads.
func TestLinesLeftOutAreCounted(t *testing.T) {
	stuck := &stuckWriter{wait: make(chan struct{})}
	sink := NewSink(stuck)
	log := NewBounded(sink, "entry", "v1")
	assert.Equal(t, log.LeftOut(), int64(0))
	const lines = 4 * (sinkLines + lineBurst)
	for range lines {
		log.Warn(RequestRefused, Fields{"request": "x"})
	}
	assert.Assert(t, log.LeftOut() > lines/2)
	unbounded := New(sink, "entry", "v1")
	for range lines {
		unbounded.Warn(RequestRefused, Fields{"request": "x"})
	}
	assert.Assert(t, unbounded.LeftOut() > lines-2*sinkLines, "the sink takes no more than it holds")
	close(stuck.wait)
	sink.Close()
}

// stuckWriter takes nothing until wait is closed.
type stuckWriter struct{ wait chan struct{} }

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.wait
	return len(p), nil
}
