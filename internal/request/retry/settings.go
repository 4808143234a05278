package retry

// Settings configures a Budget.
type Settings struct {
	// Share is the number of further attempts that each first attempt adds to the
	// budget.
	Share float64 `yaml:"share"`
	// Burst is the maximum number of further attempts that accumulate.
	Burst float64 `yaml:"burst"`
	// HedgeReserve is the fraction of Burst that hedges leave to retries and resumes.
	HedgeReserve float64 `yaml:"hedge_reserve"`
	// ResumeRate is the number of resumes per second that are allowed when the budget
	// is used up.
	ResumeRate float64 `yaml:"resume_rate"`
	// ResumeBurst is the maximum number of these that accumulate.
	ResumeBurst float64 `yaml:"resume_burst"`
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{Share: 0.1, Burst: 50, HedgeReserve: 0.5, ResumeRate: 20, ResumeBurst: 10}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	switch {
	case s.Share < 0 || s.Share > 1:
		return "share", "must be from 0 to 1"
	case s.Burst < 1:
		return "burst", "must be at least 1"
	case s.HedgeReserve < 0 || s.HedgeReserve > 1:
		return "hedge_reserve", "must be from 0 to 1"
	case s.ResumeRate <= 0:
		return "resume_rate", "must be above 0, so that no generation waits forever"
	case s.ResumeBurst < 1:
		return "resume_burst", "must be at least 1"
	}
	return "", ""
}
