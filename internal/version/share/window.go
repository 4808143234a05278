package share

import (
	"math"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request"
)

// windowSeconds is the length of the window in which a router compares versions.
const windowSeconds = 30

// tally counts what was seen of one version in one second or in the window.
type tally struct {
	requests, bad, crossed int
	// badSeconds is the number of seconds with a bad request; in the window only.
	badSeconds int
	timed      int
	// logSum is the sum of the natural logarithms of the latencies in seconds.
	logSum float64
}

func (t *tally) add(o request.Observation) {
	t.requests++
	if o.Error || o.Crossed || o.Resumed {
		t.bad++
	}
	if o.Crossed {
		t.crossed++
	}
	if d := o.FirstToken + o.CallLatency; d > 0 {
		t.timed++
		t.logSum += math.Log(d.Seconds())
	}
}

func (t *tally) merge(s tally) {
	t.requests += s.requests
	t.bad += s.bad
	t.crossed += s.crossed
	t.timed += s.timed
	t.logSum += s.logSum
	if s.bad > 0 {
		t.badSeconds++
	}
}

func (t tally) badShare() float64 {
	return float64(t.bad) / float64(max(t.requests, 1))
}

// slownessOver returns the geometric mean of t's latencies as a multiple of o's.
func (t tally) slownessOver(o tally) float64 {
	if t.timed == 0 || o.timed == 0 {
		return 1
	}
	return math.Exp(t.logSum/float64(t.timed) - o.logSum/float64(o.timed))
}

// pair holds both versions' tallies.
type pair struct{ old, new tally }

// window is a ring of seconds.
type window struct {
	seconds [windowSeconds]pair
	// last is the newest second, in Unix time.
	last int64
}

// at returns the pair of the second of now, and clears seconds that have passed.
func (w *window) at(now time.Time) *pair {
	sec := now.Unix()
	if sec-w.last >= windowSeconds {
		w.seconds = [windowSeconds]pair{}
		w.last = sec
	}
	for w.last < sec {
		w.last++
		w.seconds[w.last%windowSeconds] = pair{}
	}
	return &w.seconds[w.last%windowSeconds]
}

// sum adds up the window.
func (w *window) sum() pair {
	var p pair
	for i := range w.seconds {
		p.old.merge(w.seconds[i].old)
		p.new.merge(w.seconds[i].new)
	}
	return p
}
