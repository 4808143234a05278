package observe

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Settings holds the intervals and timeouts for monitoring targets.
type Settings struct {
	// PollInterval is the interval between load polls of one target.
	PollInterval settings.Duration `yaml:"poll_interval"`
	// PollTimeout limits the duration of one poll.
	PollTimeout settings.Duration `yaml:"poll_timeout"`
	// SilentAfter is the time from the start of the first unanswered poll until the
	// target counts as silent, unless a later poll is answered.
	SilentAfter settings.Duration `yaml:"silent_after"`
	// ReportLifetime is the age at which a load report is no longer used.
	ReportLifetime settings.Duration `yaml:"report_lifetime"`
	// HintLifetime is the age at which a prefix hint expires.
	HintLifetime settings.Duration `yaml:"hint_lifetime"`
	// GapLifetime is the remaining lifetime of a target's hints after cache events
	// were lost.
	GapLifetime settings.Duration `yaml:"gap_lifetime"`
	// PlatformInterval is the interval between reads of the platform's VM list.
	PlatformInterval settings.Duration `yaml:"platform_interval"`
}

// Defaults returns the default settings, which suit a deployment in one region.
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

// maxLeavingDelay is the longest time that a target may receive new requests after it or
// the platform first reported it as leaving.
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
		return "poll_interval", "together with poll_timeout must be at most 3s, so that leaving targets are detected in time"
	}
	if s.PlatformInterval <= 0 || s.PlatformInterval.Std() > maxLeavingDelay {
		return "platform_interval", "must be above 0 and at most 3s"
	}
	return "", ""
}
