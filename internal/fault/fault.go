// Package fault defines the fixed set of error kinds and maps each kind to the
// response that a caller or operator receives.
//
// Every error that leaves a process has one of these kinds. Inside a process,
// errors are wrapped with juju/errors; Of extracts the kind from the chain.
package fault

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Error is an error with a kind. Ran and RetryAfter default to the values in the
// kind's Row and may be overridden where the error is created.
type Error struct {
	Kind Kind
	// Ran states whether the failed request ran on a target.
	Ran chicoryv1.Ran
	// RetryAfter is the delay after which a retry is useful; 0 means that it never is.
	RetryAfter time.Duration
	// Leader is the ID of the leading control VM, if known. Only NotLeader sets it.
	Leader string
	// Message is shown to the caller. It must not reveal another team's data.
	Message string
}

// Error returns the kind's name and the message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// New returns an error of the given kind with the defaults of its row.
func New(kind Kind, format string, args ...any) *Error {
	row := kind.Row()
	return &Error{
		Kind:       kind,
		Ran:        row.Ran,
		RetryAfter: row.RetryAfter,
		Message:    fmt.Sprintf(format, args...),
	}
}

// WithRan returns a copy of e with Ran set.
func (e *Error) WithRan(ran chicoryv1.Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetryAfter returns a copy of e with RetryAfter set.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithLeader returns a copy of e with Leader set.
func (e *Error) WithLeader(id string) *Error {
	c := *e
	c.Leader = id
	return &c
}

// Of returns the first Error in err's chain. If there is none, it returns an
// Internal error whose Ran is "unknown". Of(nil) is nil.
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

// Is reports whether the first Error in err's chain has the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
