package observe

import "time"

// MaxFeedDelay is the time without a message after which a feed is given up, and so the longest
// delay of its first message.
const MaxFeedDelay = 900 * time.Millisecond

// maxReadingError is the time by which a Reading may be later than the read was: a list reaches a
// VM through two feeds at most, unless the leader changes.
const maxReadingError = 2 * MaxFeedDelay

// Reading is the time of one read of the platform's list, on the clock of this VM. The time of
// another VM's read is estimated from the messages of feeds; the estimate is never early, and late
// by maxReadingError at most.
type Reading struct{ Began, Ended time.Time }

// IsAfter reports whether r certainly shows a later state of the platform's list than earlier does:
// it began after earlier had ended.
func (r Reading) IsAfter(earlier Reading) bool {
	return r.Began.Sub(earlier.Ended) > maxReadingError
}
