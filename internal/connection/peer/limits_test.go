package peer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// TestTooLongMessageOfAPeerIsNotRead follows a feed whose message exceeds the limit.
func TestTooLongMessageOfAPeerIsNotRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/connect+proto")
		_, err := w.Write([]byte{0, 4, 0, 0, 0}) // a message of 64 MiB follows
		for b := make([]byte, 64<<10); err == nil; {
			_, err = w.Write(b)
		}
	}))
	defer server.Close()
	client := chicoryv1connect.NewFeedServiceClient(peer.NewPlainClient(), server.URL, peer.Uncompressed, peer.ReadLimit)
	stream, err := client.Follow(t.Context(), connect.NewRequest(&chicoryv1.FollowRequest{}))
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	assert.Assert(t, !stream.Receive())
	assert.Equal(t, connect.CodeOf(stream.Err()), connect.CodeResourceExhausted, "%v", stream.Err())
}
