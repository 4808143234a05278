package relay

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// TargetError states that the helper works and could not connect to the target. Err is
// syscall.ECONNREFUSED, syscall.ECONNRESET, os.ErrDeadlineExceeded or another error.
type TargetError struct {
	Helper, Target string
	Err            error
}

// Error returns the cause and both addresses.
func (e *TargetError) Error() string {
	return "connect to target " + e.Target + " through " + e.Helper + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *TargetError) Unwrap() error { return e.Err }

// HelperError states that the helper can't be reached, refused the connection or was lost.
// Err is never io.EOF or syscall.ECONNRESET, which only the target causes. It is a
// *fault.Error if the helper refused the connection: Overloaded if it has no room, NotReady if it has no
// path to the target, NoTarget if the target wants no requests from it, Draining, PermissionDenied or
// InvalidArgument.
type HelperError struct {
	Helper string
	Err    error
}

// Error returns the cause and the helper's address.
func (e *HelperError) Error() string { return "helper " + e.Helper + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *HelperError) Unwrap() error { return e.Err }

// newHelperError converts an error of a stream. Apart from refusals it keeps only the text,
// since the chain may contain io.EOF or syscall.ECONNRESET of the helper's connection.
func newHelperError(helper string, err error) *HelperError {
	if refusal := fault.FromConnect(err); refusal != nil {
		return &HelperError{helper, refusal}
	}
	return &HelperError{helper, errors.New(err.Error())}
}

// endOf classifies an error of a connection to a target.
func endOf(err error) chicoryv1.RelayEnd {
	var timeout net.Error
	switch {
	case errors.Is(err, io.EOF):
		return chicoryv1.RelayEnd_RELAY_END_CLOSED
	case errors.Is(err, syscall.ECONNRESET):
		return chicoryv1.RelayEnd_RELAY_END_RESET
	case errors.Is(err, syscall.ECONNREFUSED):
		return chicoryv1.RelayEnd_RELAY_END_REFUSED
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return chicoryv1.RelayEnd_RELAY_END_TIMED_OUT
	default:
		return chicoryv1.RelayEnd_RELAY_END_FAILED
	}
}

// endError is the reverse of endOf.
func endError(end chicoryv1.RelayEnd, reason string) error {
	switch end {
	case chicoryv1.RelayEnd_RELAY_END_CLOSED:
		return io.EOF
	case chicoryv1.RelayEnd_RELAY_END_RESET:
		return syscall.ECONNRESET
	case chicoryv1.RelayEnd_RELAY_END_REFUSED:
		return syscall.ECONNREFUSED
	case chicoryv1.RelayEnd_RELAY_END_TIMED_OUT:
		return os.ErrDeadlineExceeded
	default:
		return errors.New(reason)
	}
}
