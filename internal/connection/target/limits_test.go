package target

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// TestMessageWithoutEndIsGivenUp calls a target whose response never ends.
func TestMessageWithoutEndIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		for b := make([]byte, 64<<10); ; {
			if _, err := w.Write(b); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	pool := NewPoolWith(Options{HTTP1: true})
	defer pool.Close()
	clients := pool.Clients(strings.TrimPrefix(server.URL, "http://"))
	_, err := clients.Transaction.Invoke(t.Context(), connect.NewRequest(&chicoryv1.InvokeRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted, "%v", err)
}
