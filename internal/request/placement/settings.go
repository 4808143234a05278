package placement

import (
	"time"
)

// Size is the size of a generation in tokens.
type Size struct {
	Prompt int
	// Output is the maximum number of generated tokens.
	Output int
}

// Total returns the memory that the run uses at its end, in tokens.
func (s Size) Total() int { return s.Prompt + s.Output }

// Settings are the weights and time limits of engine selection.
type Settings struct {
	// UnreadPromptWeight is the cost of an unprocessed prompt token relative to a token
	// in memory: processing a prompt delays the tokens of all runs on the engine.
	UnreadPromptWeight float64
	// BackupWeight is the cost of a backup relative to a run with the same memory.
	BackupWeight float64
	// ZoneWeight is the share of memory by which an engine of another availability zone
	// must be less loaded to be preferred, because of the traffic between zones.
	ZoneWeight float64
	// AffinityWeight is the share of memory by which other engines must be less loaded
	// than the rendezvous engine of the prompt to be preferred. With it, a caller that
	// returns through any entry VM reaches the engine that has cached its prompt.
	AffinityWeight float64
	// CachedPromptWeight is the same for an engine that is known to have processed the
	// prompt.
	CachedPromptWeight float64
	// PaceWeight is the cost, as a share of memory, of events that take twice as long as usual.
	PaceWeight float64
	// LossCooldown is how long an engine gets no new work after a loss; each consecutive
	// loss doubles it, up to MaxLossCooldown.
	LossCooldown    time.Duration
	MaxLossCooldown time.Duration
	// StaleCooldown is how long an engine gets no new work after another instance than
	// the listed one responded at its address. A list with the new instance ends it.
	StaleCooldown time.Duration
	// CandidatesPerUnreportedRun is the number of engines to sample from for each run of
	// other entry VMs that is not known here yet.
	CandidatesPerUnreportedRun float64
	// ZoneLossWeight is the share of memory by which the other engines of a zone must be
	// less loaded to be preferred, within ZoneLossWindow after the loss of an engine
	// there: losses in one zone are correlated.
	ZoneLossWeight float64
	ZoneLossWindow time.Duration
	// MaxLoadAge is the age from which a reported load is ignored.
	MaxLoadAge time.Duration
	// DefaultMemory is the memory in tokens of an engine for which none is configured.
	DefaultMemory int
}

// Defaults returns the settings for a deployment in one region.
func Defaults() Settings {
	return Settings{
		UnreadPromptWeight:         2,                      // processing takes about twice as long as generating as many bytes
		BackupWeight:               0.1,                    // few backups are ever used
		ZoneWeight:                 0.05,                   // half of a typical run's share of an engine
		AffinityWeight:             0.15,                   // more than one run, less than one unread prompt
		CachedPromptWeight:         0.6,                    // two unread prompts
		PaceWeight:                 0.2,                    // about two runs: more than AffinityWeight and one run for an engine that is 1.6 times as slow
		CandidatesPerUnreportedRun: 2,                      // two engines for each run that may go to the same one
		LossCooldown:               500 * time.Millisecond, // an engine restart takes about a second
		MaxLossCooldown:            2 * time.Second,        // the list contains a dead engine for some seconds
		StaleCooldown:              3 * time.Second,        // the list lags by a second or two
		ZoneLossWeight:             0.5,                    // about five runs
		ZoneLossWindow:             2 * time.Second,        // an engine restart takes about a second, and the list lags by another
		MaxLoadAge:                 2 * time.Second,        // runs last some seconds
		DefaultMemory:              32 << 10,
	}
}
