package observe

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Settings are the times of observation.
type Settings struct {
	// PollInterval is the time between two load reports of one target.
	PollInterval settings.Duration `yaml:"poll_interval"`
	// PollTimeout bounds one poll.
	PollTimeout settings.Duration `yaml:"poll_timeout"`
	// SilentAfter is how long after the start of an unanswered poll, with none
	// answered since, a target counts as silent.
	SilentAfter settings.Duration `yaml:"silent_after"`
	// ReportLifetime is the age at which a report's figures are no longer used.
	ReportLifetime settings.Duration `yaml:"report_lifetime"`
	// HintLifetime is the age at which a prefix hint is dropped.
	HintLifetime settings.Duration `yaml:"hint_lifetime"`
	// GapLifetime is what remains of a target's hints after lost cache events.
	GapLifetime settings.Duration `yaml:"gap_lifetime"`
	// PlatformInterval is the time between two reads of the platform's list.
	PlatformInterval settings.Duration `yaml:"platform_interval"`
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		PollInterval:     settings.Duration(250 * time.Millisecond),
		PollTimeout:      settings.Duration(300 * time.Millisecond),
		SilentAfter:      settings.Duration(600 * time.Millisecond),
		ReportLifetime:   settings.Duration(5 * time.Second),
		HintLifetime:     settings.Duration(2 * time.Minute),
		GapLifetime:      settings.Duration(10 * time.Second),
		PlatformInterval: settings.Duration(500 * time.Millisecond),
	}
}

// maxLeavingDelay is how long after its first sign a leaving target may get new work.
const maxLeavingDelay = 3 * time.Second

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	if s.PollInterval <= 0 {
		return "poll_interval", "must be above 0"
	}
	if s.PollTimeout <= 0 {
		return "poll_timeout", "must be above 0"
	}
	if s.PollInterval.Std()+s.PollTimeout.Std() > maxLeavingDelay {
		return "poll_interval", "together with poll_timeout must be at most 3s, so that leaving targets are noticed"
	}
	if s.PlatformInterval <= 0 || s.PlatformInterval.Std() > maxLeavingDelay {
		return "platform_interval", "must be above 0 and at most 3s"
	}
	return "", ""
}
