package placement

import (
	"time"
)

// Size is what a generation takes, in tokens.
type Size struct {
	Prompt int
	// Output is the most that it generates.
	Output int
}

// Total returns the memory that the run takes at its end.
func (s Size) Total() int { return s.Prompt + s.Output }

// Settings weigh engines against each other.
type Settings struct {
	// PromptWeight is how much a prompt that is still to be read counts against the
	// same number of tokens in memory: prompts delay the tokens of all runs.
	PromptWeight float64
	// BackupWeight is how much a backup counts against a run with the same memory.
	BackupWeight float64
	// ZoneWeight is the share of memory by which an engine of another availability
	// zone must be freer to be preferred, for the bytes between zones.
	ZoneWeight float64
	// AffinityWeight is the share of memory by which other engines must be freer than
	// the one that a prompt belongs to. A caller that comes back, through whatever entry
	// VM, finds its prompt there.
	AffinityWeight float64
	// ReadWeight is the same for an engine that is known to have read the prompt.
	ReadWeight float64
	// LostPause is how long an engine that was lost gets no work; each further loss
	// in a row doubles it, up to MaxLostPause.
	LostPause    time.Duration
	MaxLostPause time.Duration
	// StalePause is how long an engine gets no work after it was found to be another
	// start than the list says. A newer list ends it.
	StalePause time.Duration
	// SpreadFactor is the number of engines that a run is drawn from, for each run that
	// other entry VMs place before it can be known here.
	SpreadFactor float64
	// ZoneLossWeight is the share of memory by which other engines of a zone must be
	// freer for ZoneLossTime after one there was lost: losses of a zone come together.
	ZoneLossWeight float64
	ZoneLossTime   time.Duration
	// LoadLifetime is the age at which a stated load is no longer used.
	LoadLifetime time.Duration
	// DefaultMemory is the memory of an engine that states none, in tokens.
	DefaultMemory int
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		PromptWeight:   2,                      // reading takes about twice as long as the generation of as many bytes
		BackupWeight:   0.1,                    // few backups are ever used
		ZoneWeight:     0.05,                   // half of a usual run's share of an engine
		AffinityWeight: 0.15,                   // above one run, below one prompt that waits to be read
		ReadWeight:     0.6,                    // two prompts that wait to be read
		SpreadFactor:   2,                      // two engines for each run that may go to the same one
		LostPause:      500 * time.Millisecond, // restarts of engines take about a second
		MaxLostPause:   2 * time.Second,        // the list names a dead engine for some seconds
		StalePause:     3 * time.Second,        // the list lags by a second or two
		ZoneLossWeight: 0.5,                    // some five runs
		ZoneLossTime:   2 * time.Second,        // restarts of engines take about a second, the list lags by another
		LoadLifetime:   2 * time.Second,        // runs last some seconds
		DefaultMemory:  32 << 10,
	}
}
