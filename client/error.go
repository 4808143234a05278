package client

import (
	"fmt"
	"time"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Error is the system's final answer to a request that failed.
type Error struct {
	// Kind is a name from the closed list in docs/callers-generations.md and docs/callers-calls.md.
	Kind string
	// Ran is "not_run", "ran" or "unknown".
	Ran string
	// RetryAfter is the time after which coming back is useful; 0 means never.
	RetryAfter time.Duration
	Message    string
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// ranNames are the words for having run, by their number in the protocol.
var ranNames = [...]string{"unknown", "not_run", "ran", "unknown"}

func publicError(e *fault.Error) *Error {
	ran := ranNames[0]
	if int(e.Ran) < len(ranNames) {
		ran = ranNames[e.Ran]
	}
	return &Error{Kind: string(e.Kind), Ran: ran, RetryAfter: e.RetryAfter, Message: e.Message}
}

// Waits of a client that lost its connection.
const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// backoff returns the wait before the given try, counted from 0.
func backoff(try int) time.Duration {
	return min(firstBackoff<<min(try, 10), maxBackoff)
}
