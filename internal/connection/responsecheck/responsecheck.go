// Package responsecheck refuses malformed HTTP responses that the parsers of net/http accept.
package responsecheck

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// StatusError states that a response has no status of a final response.
type StatusError struct {
	// Status is the status as received, or its number.
	Status string
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %q is not that of a final response", e.Status)
}

// IsInformational reports whether another response follows one with the status (RFC 9110, section 15.2).
// After 101, which answers an Upgrade that no request has, a connection carries another protocol.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// FinalStatus returns a *StatusError unless status is one of a final response, 200 to 599 (RFC 9110, section 15).
func FinalStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return &StatusError{fmt.Sprintf("%03d", status)}
	}
	return nil
}

// Head checks the head of a final response. The error is a *StatusError.
func Head(resp *http.Response) error {
	// HTTP/2 has no status line, and net/http reads any number.
	if digits, _, _ := strings.Cut(resp.Status, " "); digits != strconv.Itoa(resp.StatusCode) {
		return &StatusError{digits}
	}
	return FinalStatus(resp.StatusCode)
}
