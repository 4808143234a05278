package feed

import "time"

// clockDrift is the largest difference between the rates of two VMs' clocks, in parts per million.
const clockDrift = 100

// feedClock translates times on the clock of a feed, which starts when the control VM begins the
// feed. It relies on the message that took the least time, so that messages that are delayed, or
// received late by a VM that was paused, don't make a reading look later than it was.
type feedClock struct {
	// began is the time on this VM's clock at which the feed began, according to the messages
	// received until updatedAt; it is late by the shortest delay of them.
	began, updatedAt time.Time
}

// received returns the time at which the feed began, after a message that was sent sentMs later and
// is received now.
func (c *feedClock) received(sentMs uint64, now time.Time) time.Time {
	began := now.Add(-time.Duration(sentMs) * time.Millisecond)
	latest := c.began.Add(now.Sub(c.updatedAt) * clockDrift / 1e6)
	if !c.began.IsZero() && latest.Before(began) {
		began = latest
	}
	c.began, c.updatedAt = began, now
	return began
}
