package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// sinkLines is how many lines wait for a reader that is slow for a moment.
	sinkLines = 2048
	// batchBytes is the most that is joined into one write; pipes take 64 KiB at once.
	batchBytes = 32 << 10
	// closeWait bounds the wait for a reader that has stopped.
	closeWait = 500 * time.Millisecond
)

// Sink takes lines without ever blocking and writes them from a task of its own. A
// reader that stops costs lines, not latency.
type Sink struct {
	to      io.Writer
	lines   chan []byte
	done    chan struct{}
	leftOut atomic.Int64
}

// NewSink starts a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{to: w, lines: make(chan []byte, sinkLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer for one line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.leftOut.Add(1)
	}
	return len(line), nil
}

// LeftOut returns the number of lines that found the sink full.
func (s *Sink) LeftOut() int64 { return s.leftOut.Load() }

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		batch := line
	fill:
		for len(batch) < batchBytes {
			select {
			case next, ok := <-s.lines:
				if !ok {
					break fill
				}
				batch = append(batch, next...)
			default:
				break fill
			}
		}
		_, _ = s.to.Write(batch) // a log that can't be written can't tell so
	}
}

// Close writes what waits, for a while. Nothing may be written afterwards.
func (s *Sink) Close() {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}
