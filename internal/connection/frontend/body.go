package frontend

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/intake"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/request/exchange"
)

// memory is what one request holds of the budget, apart from its connection and head.
type memory struct {
	conn    *intake.Conn
	release func()
}

func noRoom(what string) error {
	return fault.New(fault.NotReady, "there is no memory for the request's %s", what).WithRetryAfter(intake.RetryAfter())
}

// coverHead reserves the memory of a head that was not counted when it arrived.
func (m *memory) coverHead(r *http.Request) error {
	lines := 1
	for _, values := range r.Header {
		lines += len(values)
	}
	if err := m.conn.CoverHead(r.Context(), lines, headerBytes(r)); err != nil {
		return noRoom("headers")
	}
	return nil
}

// readBody reads the whole request body until the deadline. A limit of 0 means maxBodyBytes.
func (m *memory) readBody(r *http.Request, req *exchange.Request, limit int64, deadline time.Time) error {
	if limit == 0 {
		limit = maxBodyBytes
	}
	req.HasBody = r.ContentLength >= 0 && r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0
	var body []byte
	var err error
	body, m.release, err = intake.ReadBody(r, limit, deadline)
	switch {
	case errors.Is(err, intake.ErrNoRoom):
		return noRoom("body")
	case errors.Is(err, intake.ErrTooLarge):
		return fault.New(fault.BodyTooLarge, "request body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.DeadlineNotRun, "request body not received before the deadline")
	case err != nil:
		return fault.New(fault.InvalidArgument, "read request body: %v", err)
	}
	req.Body = body
	return nil
}
