package retry

// Settings bound further attempts.
type Settings struct {
	// Share is the number of further attempts that each first attempt pays for.
	Share float64 `yaml:"share"`
	// Burst is the number of further attempts that can be saved up.
	Burst float64 `yaml:"burst"`
	// HedgeReserve is the part of Burst that hedges leave to retries and resumes.
	HedgeReserve float64 `yaml:"hedge_reserve"`
	// ResumeRate is the number of resumes a second that go ahead without savings.
	ResumeRate float64 `yaml:"resume_rate"`
	// ResumeBurst is how many of these can be saved up.
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
		return "resume_rate", "must be above 0, so that no generation waits for good"
	case s.ResumeBurst < 1:
		return "resume_burst", "must be at least 1"
	}
	return "", ""
}
