package fault

import (
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// ToConnect converts err to the Connect error that is returned for requestID. Its
// FaultDetail states the kind, whether the request ran and when to retry.
func ToConnect(err error, requestID string) *connect.Error {
	e := Of(err)
	if e == nil {
		return nil
	}
	c := connect.NewError(e.Kind.Row().Code, errors.New(e.Message))
	detail, detailErr := connect.NewErrorDetail(&chicoryv1.FaultDetail{
		Kind:         string(e.Kind),
		Ran:          e.Ran,
		RetryAfterMs: uint32(e.RetryAfter / time.Millisecond),
		RequestId:    requestID,
		Leader:       e.Leader,
	})
	if detailErr == nil {
		c.AddDetail(detail)
	}
	return c
}

// FromConnect converts a Connect error from one of this project's services back to
// an Error. It returns nil when err carries no FaultDetail, as for a broken
// connection or an error from a target.
func FromConnect(err error) *Error {
	var c *connect.Error
	if !errors.As(err, &c) {
		return nil
	}
	for _, d := range c.Details() {
		v, valueErr := d.Value()
		if valueErr != nil {
			continue
		}
		if f, ok := v.(*chicoryv1.FaultDetail); ok {
			return &Error{
				Kind:       Kind(f.GetKind()),
				Ran:        f.GetRan(),
				RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
				Leader:     f.GetLeader(),
				Message:    c.Message(),
			}
		}
	}
	return nil
}
