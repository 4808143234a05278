package routing

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// Settings configures how targets are chosen and when they are ejected.
type Settings struct {
	// DefaultCapacity is the capacity in concurrent requests of targets for which
	// neither the configuration nor a load report has one.
	DefaultCapacity int `yaml:"default_capacity"`
	// ZoneBound is the extra load, as a fraction of capacity, up to which a target of
	// the router's own availability zone is preferred to a less loaded one elsewhere.
	ZoneBound float64 `yaml:"zone_bound"`
	// AffinityBound is the same for targets that have the prompt prefix cached.
	AffinityBound float64 `yaml:"affinity_bound"`
	// MaxEjectedShare is the maximum fraction of the targets of a service version that
	// may be ejected at a time. Dead targets that are not ejected don't count.
	MaxEjectedShare float64 `yaml:"max_ejected_share"`
	// EjectErrors, EjectSilences, EjectResets and EjectLate are the numbers of
	// consecutive results of each kind that eject a target. A call is late when it was
	// abandoned after a multiple of the mean latency, because its hedge responded first.
	EjectErrors   int `yaml:"eject_errors"`
	EjectSilences int `yaml:"eject_silences"`
	EjectResets   int `yaml:"eject_resets"`
	EjectLate     int `yaml:"eject_late"`
	// EjectErrorShare is the difference between the error rate of a target and that of
	// the other targets of its group above which the target is ejected.
	EjectErrorShare float64 `yaml:"eject_error_share"`
	// MinSamples is the number of recent requests below which the error rate of a target
	// is not evaluated.
	MinSamples float64 `yaml:"min_samples"`
	// EjectionTime is the duration of the first ejection. Each further one lasts twice
	// as long, up to MaxEjectionTime.
	EjectionTime    settings.Duration `yaml:"ejection_time"`
	MaxEjectionTime settings.Duration `yaml:"max_ejection_time"`
	// ProbeInterval is the time between two probes of a target after its ejection.
	ProbeInterval settings.Duration `yaml:"probe_interval"`
	// ProbeSuccesses is the number of successful probes that restore a target.
	ProbeSuccesses int `yaml:"probe_successes"`
	// ReviewInterval is the time between two comparisons of a target with its peers.
	ReviewInterval settings.Duration `yaml:"review_interval"`
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		DefaultCapacity: 16,
		ZoneBound:       0.25,
		AffinityBound:   0.25,
		MaxEjectedShare: 0.5,
		EjectErrors:     5,
		EjectSilences:   2,
		EjectResets:     3,
		EjectLate:       4,
		EjectErrorShare: 0.3,
		MinSamples:      20,
		EjectionTime:    settings.Duration(time.Second),
		MaxEjectionTime: settings.Duration(30 * time.Second),
		ProbeInterval:   settings.Duration(300 * time.Millisecond),
		ProbeSuccesses:  3,
		ReviewInterval:  settings.Duration(100 * time.Millisecond),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	switch {
	case s.DefaultCapacity <= 0:
		return "default_capacity", "must be above 0"
	case s.MaxEjectedShare < 0 || s.MaxEjectedShare >= 1:
		return "max_ejected_share", "must be at least 0 and below 1"
	case s.EjectErrors <= 0:
		return "eject_errors", "must be above 0"
	case s.EjectSilences <= 0:
		return "eject_silences", "must be above 0"
	case s.EjectResets <= 0:
		return "eject_resets", "must be above 0"
	case s.EjectLate <= 0:
		return "eject_late", "must be above 0"
	case s.EjectionTime <= 0:
		return "ejection_time", "must be above 0"
	case s.MaxEjectionTime < s.EjectionTime:
		return "max_ejection_time", "must be at least ejection_time"
	case s.ProbeSuccesses <= 0:
		return "probe_successes", "must be above 0"
	case s.ReviewInterval <= 0:
		return "review_interval", "must be above 0"
	}
	return "", ""
}
