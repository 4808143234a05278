// Package responsecheck refuses malformed HTTP responses that the parsers of net/http accept.
package responsecheck

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
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

// FieldNameError states that the name of a field in a header or a trailer is invalid.
type FieldNameError struct {
	// Name is the name, up to the first invalid byte if no more was read.
	Name string
}

// Error returns the name.
func (e *FieldNameError) Error() string { return fmt.Sprintf("field name %q is not a token", e.Name) }

// Transport checks what another transport receives. A response whose status or header is malformed fails with a
// *StatusError or a *FieldNameError, one with malformed trailers at the end of its body. Lines that continue other
// ones and informational responses are read as Base does.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close() // nothing of the response is used
		return nil, err
	}
	resp.Body = &body{resp.Body, resp}
	return resp, nil
}

// CloseIdleConnections closes those of Base; http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func checkHead(resp *http.Response) error {
	// HTTP/2 has no status line, and net/http reads any number.
	if digits, _, _ := strings.Cut(resp.Status, " "); digits != strconv.Itoa(resp.StatusCode) {
		return &StatusError{digits}
	}
	if err := FinalStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// checkNames returns a *FieldNameError if a name is not a token (RFC 9110, section 5.1). net/http accepts blanks.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldNameError{name}
		}
	}
	return nil
}

// body checks the trailers of a response once they are known, at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
