package speed

import (
	"math"
	"time"
)

// estimate is a weighted mean of the logarithms of factors. The zero value has no weight.
type estimate struct {
	log, variance, weight float64
	// at is the time of the last observation.
	at time.Time
}

// add adds an observation. Its difference from the mean is limited, so that no single one
// outweighs the others. limit bounds the weight of all.
func (e *estimate) add(value, weight, limit float64, now time.Time) {
	before := e.weightAt(now)
	if before < minWeight {
		*e = estimate{log: min(max(value, -maxLog), maxLog), weight: weight, at: now}
		return
	}
	difference := min(max(value-e.log, -maxDeviation), maxDeviation)
	gain := weight / (before + weight)
	e.log += gain * difference
	e.variance += gain * (difference*difference - e.variance)
	e.weight, e.at = min(before+weight, limit), now
}

// weightAt returns the weight that is left at now.
func (e *estimate) weightAt(now time.Time) float64 {
	if e.weight == 0 {
		return 0
	}
	return e.weight * math.Exp(-float64(max(now.Sub(e.at), 0))/float64(lifetime))
}

// minWeight is the weight below which an estimate counts as none.
const minWeight = 0.01

// mean returns the weighted mean of estimates, with the weights that are left at now.
func mean(now time.Time, estimates ...*estimate) estimate {
	var sum estimate
	for _, e := range estimates {
		w := e.weightAt(now)
		sum.weight += w
		sum.log += w * e.log
		sum.variance += w * e.variance
		if e.at.After(sum.at) {
			sum.at = e.at
		}
	}
	if sum.weight < minWeight {
		return estimate{}
	}
	sum.log /= sum.weight
	sum.variance /= sum.weight
	return sum
}

// share returns the share of the estimate beside the assumption that the target is as fast as
// usual.
func (e estimate) share() float64 {
	return e.weight / (e.weight + priorWeight*(1+e.variance/usualVariance))
}

// movingMean is a moving average. The zero value has no values.
type movingMean struct {
	mean  float64
	count int
}

// add adds a value to the mean of the last memory ones.
func (m *movingMean) add(value float64, memory int) {
	m.count = min(m.count+1, memory)
	m.mean += (value - m.mean) / float64(m.count)
}

// statedPace is what a target states, as logarithms of factors.
type statedPace struct {
	movingMean
	last float64
	at   time.Time
}

func (s *statedPace) add(value float64, now time.Time) {
	s.movingMean.add(value, statedMemory)
	s.last, s.at = value, now
}

// momentary returns the factor by which work takes longer at this moment than it does at the
// target on average, as far as what was stated last still tells: its weight is momentaryShare when
// it arrives, and decreases to 1/e of that in every momentaryLifetime.
func (s *statedPace) momentary(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	if s.count == 0 || age > 10*momentaryLifetime {
		return 1
	}
	weight := momentaryShare * math.Exp(-float64(age)/float64(momentaryLifetime))
	return 1 + weight*(math.Exp(s.last-s.mean)-1)
}

// baseline is the usual duration of one kind of work as a function of the number of running
// requests, in logarithms: a regression line, which needs few durations to be known, and a
// correction for each number, which needs many.
type baseline struct {
	count int
	// The means of the logarithms of loads and durations, and the mean products of their
	// deviations.
	load, duration, loadVariance, covariance float64
	// corrections are the mean differences between durations and the line.
	corrections [buckets]movingMean
}

const (
	// minBaselineCount is the number of durations from which a usual one is known.
	minBaselineCount = 8
	// baselineMemory is the number of durations in moving averages.
	baselineMemory = 256
	// slopeVariance is the variance of loads at which the line has half of its slope: few
	// different loads show no slope.
	slopeVariance = 0.01
	// correctionPrior is the number of durations at which a correction has half of its weight.
	correctionPrior = 32
)

// add adds the logarithm of a duration.
func (b *baseline) add(running int, log float64) {
	difference := log - b.at(running)
	if b.isKnown() {
		difference = min(max(difference, -maxDeviation), maxDeviation)
		log = b.at(running) + difference
		b.corrections[bucket(running)].add(log-b.line(running), baselineMemory)
	}
	b.count = min(b.count+1, baselineMemory)
	gain := 1 / float64(b.count)
	load, duration := loadOf(running)-b.load, log-b.duration
	b.load += gain * load
	b.duration += gain * duration
	b.loadVariance += gain * ((1-gain)*load*load - b.loadVariance)
	b.covariance += gain * ((1-gain)*load*duration - b.covariance)
}

func (b *baseline) isKnown() bool { return b.count >= minBaselineCount }

// at returns the logarithm of the usual duration.
func (b *baseline) at(running int) float64 {
	c := b.corrections[bucket(running)]
	return b.line(running) + c.mean*float64(c.count)/float64(c.count+correctionPrior)
}

func (b *baseline) line(running int) float64 {
	slope := max(b.covariance, 0) / (b.loadVariance + slopeVariance)
	return b.duration + slope*(loadOf(running)-b.load)
}

// loadOf returns the logarithm that durations are nearly linear in: a few requests more make no
// difference, and many make one of their share.
func loadOf(running int) float64 { return math.Log(float64(max(running, 1) + 4)) }

// buckets is the number of ranges of running requests with a correction of their own.
const buckets = 16

// bucket returns the range of a number of running requests. Up to 8, each number has its own; the
// following ranges grow by about a quarter.
func bucket(running int) int {
	running = max(running, 1)
	if running <= 8 {
		return running - 1
	}
	return min(8+int(math.Log(float64(running)/8.5)/math.Log(1.25)), buckets-1)
}

// EventSampler reduces the gaps between a stream's events to one mean for eventsPerSample of
// them. The longest gap of each sample is left out: a pause is no speed. The zero value has no
// events.
type EventSampler struct {
	count        int
	sum, longest time.Duration
}

// eventsPerSample bounds the cost of observations to a small part of that of relaying events.
const eventsPerSample = 16

// Add adds a gap, and returns the mean if a sample is complete.
func (s *EventSampler) Add(gap time.Duration) (mean time.Duration, ok bool) {
	s.count++
	s.sum += gap
	s.longest = max(s.longest, gap)
	if s.count < eventsPerSample {
		return 0, false
	}
	mean = (s.sum - s.longest) / (eventsPerSample - 1)
	*s = EventSampler{}
	return mean, true
}

// Reset discards the gaps since the last sample, for example because the caller reads slowly and
// the gaps are not those of the target.
func (s *EventSampler) Reset() { *s = EventSampler{} }
