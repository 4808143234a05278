package generation

import (
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
)

// Settings are the limits and timeouts of generations. DefaultSettings has the defaults.
type Settings struct {
	// MaxPromptBytes is the longest prompt that is accepted, in bytes.
	MaxPromptBytes int `yaml:"max_prompt_bytes"`
	// MaxTokens is the highest max_tokens that a request may ask for.
	MaxTokens int `yaml:"max_tokens"`
	// DefaultTimeout applies if neither the request nor its route sets a timeout.
	DefaultTimeout settings.Duration `yaml:"default_timeout"`
	// MinSilence and MaxSilence limit the silence timeout, which is learned from the
	// gaps between tokens.
	MinSilence settings.Duration `yaml:"min_silence"`
	MaxSilence settings.Duration `yaml:"max_silence"`
	// FixedSilence replaces the learned silence timeout if it is not 0.
	FixedSilence settings.Duration `yaml:"fixed_silence"`
	// FirstToken is the timeout of the first token of an empty prompt.
	// FirstTokenPerKiB is added to it for each KiB of prompt and prefix.
	FirstToken       settings.Duration `yaml:"first_token"`
	FirstTokenPerKiB settings.Duration `yaml:"first_token_per_kib"`
	// ProbeTimeout is how long an engine may take to answer a reattachment or a ping.
	ProbeTimeout settings.Duration `yaml:"probe_timeout"`
	// MaxProbes is how many probes in a row an engine may answer without a new token.
	MaxProbes int `yaml:"max_probes"`
	// MaxAttempts is how many times in a row a generation may be restarted without a
	// new token.
	MaxAttempts int `yaml:"max_attempts"`
	// MaxResumeWait is the longest wait for the retry budget. If it would take longer,
	// the caller gets an error that says when to retry.
	MaxResumeWait settings.Duration `yaml:"max_resume_wait"`
	// CallerGrace is how long an engine continues after the caller disconnected.
	CallerGrace settings.Duration `yaml:"caller_grace"`
	// CancelTimeout is the timeout of one cancellation request to an engine.
	CancelTimeout settings.Duration `yaml:"cancel_timeout"`
}

// DefaultSettings returns the values of settings that a file doesn't set.
func DefaultSettings() Settings {
	return Settings{
		MaxPromptBytes:   256 << 10,
		MaxTokens:        32768,
		DefaultTimeout:   settings.Duration(30 * time.Minute),
		MinSilence:       settings.Duration(150 * time.Millisecond),
		MaxSilence:       settings.Duration(time.Second),
		FirstToken:       settings.Duration(500 * time.Millisecond),
		FirstTokenPerKiB: settings.Duration(50 * time.Millisecond),
		ProbeTimeout:     settings.Duration(250 * time.Millisecond),
		MaxProbes:        5,
		MaxAttempts:      6,
		MaxResumeWait:    settings.Duration(time.Second),
		CallerGrace:      settings.Duration(5 * time.Second),
		CancelTimeout:    settings.Duration(3 * time.Second),
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() (field, problem string) {
	switch {
	case s.MaxPromptBytes < 1:
		return "max_prompt_bytes", "must be positive"
	case s.MaxTokens < 1:
		return "max_tokens", "must be positive"
	case s.DefaultTimeout <= 0:
		return "default_timeout", "must be positive"
	case s.MinSilence <= 0:
		return "min_silence", "must be positive"
	case s.MaxSilence < s.MinSilence:
		return "max_silence", "must not be below min_silence"
	case s.FirstToken <= 0:
		return "first_token", "must be positive"
	case s.ProbeTimeout <= 0:
		return "probe_timeout", "must be positive"
	case s.MaxProbes < 1:
		return "max_probes", "must be positive"
	case s.MaxAttempts < 1:
		return "max_attempts", "must be positive"
	case s.CancelTimeout <= 0:
		return "cancel_timeout", "must be positive"
	}
	return "", ""
}

// silenceBounds returns the limits of the learned silence timeout.
func (s *Settings) silenceBounds() pace.TimeoutBounds {
	return pace.TimeoutBounds{Fixed: s.FixedSilence.Std(), Min: s.MinSilence.Std(), Max: s.MaxSilence.Std()}
}

// firstTokenTimeout returns the timeout of the first token of an attempt whose prompt
// and prefix have inputBytes bytes.
func (s *Settings) firstTokenTimeout(inputBytes int) time.Duration {
	return s.FirstToken.Std() + s.FirstTokenPerKiB.Std()*time.Duration(inputBytes)/1024
}
