package logging

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that are queued while the writer is slow.
	queueLines = 2048
	// batchBytes is the size at which a batch is written; a pipe buffers 64 KiB.
	batchBytes = 32 << 10
	// closeTimeout limits how long Close waits for a blocked writer.
	closeTimeout = 500 * time.Millisecond
)

// Sink queues lines without blocking and writes them from its own goroutine. When the
// underlying writer blocks, lines are dropped rather than delaying the caller.
type Sink struct {
	writer  io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewSink starts a sink that writes to w.
func NewSink(w io.Writer) *Sink {
	s := &Sink{writer: w, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer for one line. It drops the line if the queue is full and
// never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.queue {
		batch := line
	fill:
		for len(batch) < batchBytes {
			select {
			case next, ok := <-s.queue:
				if !ok {
					break fill
				}
				batch = append(batch, next...)
			default:
				break fill
			}
		}
		_, _ = s.writer.Write(batch) // a failure to write the log can't be logged
	}
}

// Close flushes the queue, waiting at most closeTimeout. Write must not be called
// afterwards.
func (s *Sink) Close() {
	close(s.queue)
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
