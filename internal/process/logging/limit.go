package logging

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesPerSecond limits what one process writes. At about 300 bytes per line it
	// amounts to 60 KB/s, which log collectors can ingest.
	linesPerSecond = 200
	// lineBurst is the number of lines that may be written at once, for example when
	// all targets of an availability zone are lost.
	lineBurst = 1000
	// failureReserve is the share of the burst that informational lines can't use, so
	// that it stays available for failures.
	failureReserve = 0.5
)

// lineLimiter limits the rate of log lines with a token bucket. Failures take
// precedence over informational lines.
type lineLimiter struct {
	totalDropped atomic.Int64 // lines dropped since the start

	mu       sync.Mutex // guards the fields below
	tokens   float64
	refilled time.Time // when tokens were last added
	dropped  int       // lines dropped since the last allowed one
}

func newLineLimiter(now time.Time) *lineLimiter {
	return &lineLimiter{tokens: lineBurst, refilled: now}
}

// allow reports whether one line may be written. dropped is the number of lines
// dropped since the last one that was allowed.
func (l *lineLimiter) allow(now time.Time, failure bool) (ok bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+now.Sub(l.refilled).Seconds()*linesPerSecond, lineBurst)
	l.refilled = now
	required := 1.0
	if !failure {
		required += failureReserve * lineBurst
	}
	if l.tokens < required {
		l.dropped++
		l.totalDropped.Add(1)
		return false, 0
	}
	l.tokens--
	dropped = l.dropped
	l.dropped = 0
	return true, dropped
}
