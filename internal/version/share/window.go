package share

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// windowSeconds is the length of the sliding window in which a router compares versions.
const windowSeconds = 30

// counts holds the counts of one version in one second or in the whole window.
type counts struct {
	// bad requests are those that failed, were crossed or had to be resumed.
	requests, bad, crossed int
	// badSeconds is the number of seconds with a bad request. It is 0 in the counts of
	// one second.
	badSeconds int
	// timed is the number of requests with a latency.
	timed int
	// logLatencySum is the sum of the natural logarithms of the latencies in seconds.
	logLatencySum float64
}

func (t *counts) add(o request.Observation) {
	t.requests++
	if o.Error || o.Crossed || o.Resumed {
		t.bad++
	}
	if o.Crossed {
		t.crossed++
	}
	if d := o.FirstToken + o.CallLatency; d > 0 {
		t.timed++
		t.logLatencySum += math.Log(d.Seconds())
	}
}

func (t *counts) merge(s counts) {
	t.requests += s.requests
	t.bad += s.bad
	t.crossed += s.crossed
	t.timed += s.timed
	t.logLatencySum += s.logLatencySum
	if s.bad > 0 {
		t.badSeconds++
	}
}

func (t counts) badRate() float64 {
	return float64(t.bad) / float64(max(t.requests, 1))
}

// slowdownOver returns the geometric mean of t's latencies divided by that of o's, or
// 1 if either has none.
func (t counts) slowdownOver(o counts) float64 {
	if t.timed == 0 || o.timed == 0 {
		return 1
	}
	return math.Exp(t.logLatencySum/float64(t.timed) - o.logLatencySum/float64(o.timed))
}

// versionCounts holds the counts of both versions.
type versionCounts struct{ old, new counts }

// window is a sliding window, stored as a ring buffer of seconds.
type window struct {
	seconds [windowSeconds]versionCounts
	// last is the newest second in the ring, in Unix time.
	last int64
}

// secondAt advances the window to now and returns the counts of the current second.
func (w *window) secondAt(now time.Time) *versionCounts {
	sec := now.Unix()
	if sec-w.last >= windowSeconds {
		w.seconds = [windowSeconds]versionCounts{}
		w.last = sec
	}
	for w.last < sec {
		w.last++
		w.seconds[w.last%windowSeconds] = versionCounts{}
	}
	return &w.seconds[w.last%windowSeconds]
}

// total returns the sum over the window.
func (w *window) total() versionCounts {
	var p versionCounts
	for i := range w.seconds {
		p.old.merge(w.seconds[i].old)
		p.new.merge(w.seconds[i].new)
	}
	return p
}
