package admission

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// LimitMode selects how a router determines its part of a service's capacity.
type LimitMode string

// The limit modes.
const (
	// LimitStatic divides the capacity by the number of live routers.
	LimitStatic LimitMode = "static"
	// LimitShared is LimitStatic plus a part of the capacity that is unused according
	// to the targets' load reports.
	LimitShared LimitMode = "shared"
	// LimitLearned adapts the concurrency limit to the observed latency.
	LimitLearned LimitMode = "learned"
)

// Settings configures admission in one router.
type Settings struct {
	Limit LimitMode `yaml:"limit"`
	// Headroom is the factor by which the capacity of the targets is multiplied.
	Headroom float64 `yaml:"headroom"`
	// MaxQueue is the maximum number of queued requests per service version.
	MaxQueue int `yaml:"max_queue"`
	// QueueShare limits the expected wait of a request that is queued, as a fraction
	// of the time that it can wait: until its deadline minus its expected duration.
	// With a value below 1, queued requests are rarely refused later.
	QueueShare float64 `yaml:"queue_share"`
	// ReserveShare is the fraction of a pool's limit that teams above their fair share
	// leave free, so that other teams need not wait for a request to end. It applies
	// while more than one team is active.
	ReserveShare float64 `yaml:"reserve_share"`
	// BurstTime sets the burst of a team's rate limits: what accrues in this time.
	BurstTime settings.Duration `yaml:"burst_time"`
	// MinRetryAfter and MaxRetryAfter bound the retry time of refused requests,
	// before an interval to the next retry and jitter are added.
	MinRetryAfter settings.Duration `yaml:"min_retry_after"`
	MaxRetryAfter settings.Duration `yaml:"max_retry_after"`
	// ReturnShare is the fraction of a service's throughput for which retries of
	// refused requests are scheduled.
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
