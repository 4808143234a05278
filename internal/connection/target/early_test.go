package target

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/responsetest"
)

// TestEarlyResponseThatIsResetIsNotComplete guards against a part of a message that is taken for a whole one, since
// its connection was reset while the request was being written. HTTP/2 marks the end of a message.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	part, err := proto.Marshal(&chicoryv1.InvokeResponse{CallId: "c"})
	assert.NilError(t, err)
	x, err := responsetest.StartEarlyTarget("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"+string(part), responsetest.Reset)
	assert.NilError(t, err)
	defer x.Close()
	for range 20 {
		p := newTestPool(t, true)
		req := connect.NewRequest(&chicoryv1.InvokeRequest{CallId: "c", Payload: make([]byte, responsetest.LongRequest)})
		resp, err := p.Clients(x.Address).Transaction.Invoke(WithDispatch(context.Background(), &Dispatch{}), req)
		assert.Assert(t, err != nil, "%v", resp)
	}
}
