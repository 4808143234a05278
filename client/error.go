package client

import (
	"fmt"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Error is the error that a router returned for a failed request.
type Error struct {
	// Kind is one of the error kinds listed in docs/callers-generations.md and docs/callers-calls.md.
	Kind string
	// Ran is "not_run", "ran" or "unknown".
	Ran string
	// RetryAfter is the time to wait before a retry; 0 means that a retry
	// is not useful.
	RetryAfter time.Duration
	Message    string
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// ranNames maps the values of the enum Ran to the strings of Error.Ran.
var ranNames = [...]string{"unknown", "not_run", "ran", "unknown"}

func publicError(e *fault.Error) *Error {
	ran := ranNames[0]
	if int(e.Ran) < len(ranNames) {
		ran = ranNames[e.Ran]
	}
	return &Error{Kind: string(e.Kind), Ran: ran, RetryAfter: e.RetryAfter, Message: e.Message}
}

// Delays before reconnecting after a lost connection.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// backoff returns the exponential delay for the given attempt, counted from 0.
func backoff(attempt int) time.Duration {
	return min(firstBackoff<<min(attempt, 10), maxBackoff)
}
