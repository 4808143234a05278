package exchange

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

const (
	// maxTimeoutFactor bounds how much longer than usual an engine may be silent because it is
	// slow: engines are slowed by factors of up to 2.5.
	maxTimeoutFactor = 2.5
	// maxSlowSilenceShare is the share of the longest gap between events that the silence timeout
	// of a slow engine may reach.
	maxSlowSilenceShare = 0.8
	// maxWriteTime is the time for writing an event above which the gaps between events may be
	// those of the caller.
	maxWriteTime = 20 * time.Millisecond
)

// slowerBy returns a duration for an engine that is slower than usual by a factor. It is not
// reduced for a faster one.
func slowerBy(factor float64, d time.Duration) time.Duration {
	return time.Duration(min(max(factor, 1), maxTimeoutFactor) * float64(d))
}

// speedFactor returns how long work takes on an engine, as a multiple of what is usual.
func (s *Service) speedFactor(run *placement.Run) float64 {
	return s.opts.Speeds.Factor(run.Target.GetAddress(), run.Target.GetInstance(), time.Now())
}

// paceObserver observes the speed of an engine by the events of one stream.
type paceObserver struct {
	speeds    *speed.Table
	sampler   speed.EventSampler
	arrivedAt time.Time // of the last event
}

// firstEvent records the arrival of the first event of a stream that was sent at sentAt. It shows
// the speed only if the engine processed this prompt and no other one.
func (p *paceObserver) firstEvent(run *placement.Run, promptTokens int, sentAt, now time.Time) {
	p.arrivedAt = now
	if run.IsOnlyPrompt() {
		p.speeds.ObserveFirstEvent(run.Target.GetAddress(), run.Target.GetInstance(), promptTokens, now.Sub(sentAt), now)
	}
}

// event records the arrival of a further event. writtenAt is when the last one had been written to
// the caller.
func (p *paceObserver) event(run *placement.Run, writtenAt, now time.Time) {
	gap := now.Sub(p.arrivedAt)
	if writtenAt.Sub(p.arrivedAt) > maxWriteTime {
		p.sampler.Reset()
	} else if mean, ok := p.sampler.Add(gap); ok {
		p.speeds.ObserveEvents(run.Target.GetAddress(), run.Target.GetInstance(), mean, run.Running(), now)
	}
	p.arrivedAt = now
}
