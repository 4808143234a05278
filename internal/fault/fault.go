// Package fault holds the closed list of error kinds and the table from each
// kind to the answer that a caller or operator gets.
//
// Every error that leaves a process is one of these kinds. Inside a process,
// errors are wrapped with juju/errors; Of finds the kind again.
package fault

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Error is an error of a known kind. Ran and RetryAfter start from the kind's
// row in the table and may be narrowed by whoever raises it.
type Error struct {
	Kind Kind
	// Ran says whether the refused request reached a target.
	Ran chicoryv1.Ran
	// RetryAfter is the time after which coming back is useful; 0 means never.
	RetryAfter time.Duration
	// Leader is the identity of the leading control VM, if known. Only NotLeader has it.
	Leader string
	// Message is shown to the caller. It names no other team's data.
	Message string
}

// Error returns the kind's name and the message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// New returns an error of a kind with the defaults of its row.
func New(kind Kind, format string, args ...any) *Error {
	row := kind.Row()
	return &Error{
		Kind:       kind,
		Ran:        row.Ran,
		RetryAfter: row.RetryAfter,
		Message:    fmt.Sprintf(format, args...),
	}
}

// WithRan returns e with another statement about having run.
func (e *Error) WithRan(ran chicoryv1.Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns e with another time for coming back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithLeader returns e with the identity of the leading control VM.
func (e *Error) WithLeader(id string) *Error {
	c := *e
	c.Leader = id
	return &c
}

// Of returns the first Error in err's chain. An error of no known kind becomes
// Internal, whose statement about having run is "unknown". Of(nil) is nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%s", err.Error())
}

// Is reports whether err is of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
