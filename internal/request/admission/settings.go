package admission

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// LimitMode says how a router's part of a service's capacity is found.
type LimitMode string

// The modes.
const (
	// LimitStatic: the capacity divided by the number of live routers.
	LimitStatic LimitMode = "static"
	// LimitShared: the same, and what load reports show that others leave unused.
	LimitShared LimitMode = "shared"
	// LimitLearned: a concurrency limit that follows latency.
	LimitLearned LimitMode = "learned"
)

// Settings bound what a router takes on.
type Settings struct {
	Limit LimitMode `yaml:"limit"`
	// Headroom multiplies the capacity of the targets.
	Headroom float64 `yaml:"headroom"`
	// MaxQueue is the number of requests that may wait for one service's version.
	MaxQueue int `yaml:"max_queue"`
	// QueueShare is the part of the time that a request can wait (up to its deadline
	// less its expected duration) that the expected wait may take when it is queued.
	// Below 1, what is queued is hardly ever refused later.
	QueueShare float64 `yaml:"queue_share"`
	// ReserveShare is the part of a pool's limit that teams above their fair share
	// leave free, so that the others need not wait for a request to end. It is in
	// force while more than one team is active.
	ReserveShare float64 `yaml:"reserve_share"`
	// BurstTime is the time over which a team may save up its rate limits.
	BurstTime settings.Duration `yaml:"burst_time"`
	// MinRetryAfter and MaxRetryAfter bound the advice when to come back.
	MinRetryAfter settings.Duration `yaml:"min_retry_after"`
	MaxRetryAfter settings.Duration `yaml:"max_retry_after"`
	// ReturnShare is the share of a service's rate that is offered to returning requests.
	ReturnShare float64 `yaml:"return_share"`
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		Limit:         LimitShared,
		Headroom:      1,
		MaxQueue:      1000,
		QueueShare:    0.5,
		ReserveShare:  0.25,
		BurstTime:     settings.Duration(2 * time.Second),
		MinRetryAfter: settings.Duration(200 * time.Millisecond),
		MaxRetryAfter: settings.Duration(30 * time.Second),
		ReturnShare:   0.5,
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	switch {
	case s.Limit != LimitStatic && s.Limit != LimitShared && s.Limit != LimitLearned:
		return "limit", "must be static, shared or learned"
	case s.Headroom <= 0:
		return "headroom", "must be above 0"
	case s.MaxQueue < 1:
		return "max_queue", "must be at least 1"
	case s.QueueShare <= 0 || s.QueueShare > 1:
		return "queue_share", "must be above 0 and at most 1"
	case s.ReserveShare < 0 || s.ReserveShare >= 1:
		return "reserve_share", "must be at least 0 and below 1"
	case s.BurstTime <= 0:
		return "burst_time", "must be above 0"
	case s.MinRetryAfter <= 0:
		return "min_retry_after", "must be above 0"
	case s.MaxRetryAfter < s.MinRetryAfter:
		return "max_retry_after", "must be at least min_retry_after"
	case s.ReturnShare <= 0 || s.ReturnShare > 1:
		return "return_share", "must be above 0 and at most 1"
	}
	return "", ""
}
