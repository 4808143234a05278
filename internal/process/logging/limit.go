package logging

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linesPerSecond bounds what one process writes: at some 300 bytes a line that is
	// 60 KB a second, which log collectors take.
	linesPerSecond = 200
	// lineBurst is what may be written at once, as when a zone's targets are lost.
	lineBurst = 1000
	// ordinaryReserve is the part of the burst that lines of ordinary events leave to
	// those of failures.
	ordinaryReserve = 0.5
)

// limit bounds the number of lines. Lines of failures go before ordinary ones.
type limit struct {
	total atomic.Int64 // lines that were left out

	mu      sync.Mutex // guards the fields below
	lines   float64
	at      time.Time
	leftOut int
}

func newLimit(now time.Time) *limit {
	return &limit{lines: lineBurst, at: now}
}

// allow takes one line from the bound. leftOut is the number of lines that were
// left out since the last one that was allowed.
func (l *limit) allow(now time.Time, failure bool) (ok bool, leftOut int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = min(l.lines+now.Sub(l.at).Seconds()*linesPerSecond, lineBurst)
	l.at = now
	floor := 1.0
	if !failure {
		floor += ordinaryReserve * lineBurst
	}
	if l.lines < floor {
		l.leftOut++
		l.total.Add(1)
		return false, 0
	}
	l.lines--
	leftOut = l.leftOut
	l.leftOut = 0
	return true, leftOut
}
