package ctl

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// fakeControlVM responds to Status requests with err, or with a revision if err is nil.
type fakeControlVM struct {
	chicoryv1connect.UnimplementedOperatorServiceHandler
	err *fault.Error
}

func (v fakeControlVM) Status(context.Context, *connect.Request[chicoryv1.StatusRequest]) (*connect.Response[chicoryv1.StatusResponse], error) {
	if v.err != nil {
		return nil, fault.ToConnect(v.err, "")
	}
	return connect.NewResponse(&chicoryv1.StatusResponse{Revision: 7}), nil
}

// startVM serves v over TLS and returns its address.
func startVM(t *testing.T, keys *peer.Credentials, v fakeControlVM) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(chicoryv1connect.NewOperatorServiceHandler(v))
	s := &http.Server{Handler: mux, TLSConfig: keys.ServerConfig()}
	go func() { _ = s.ServeTLS(ln, "", "") }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// TestCommandFailsOverToLeader checks that a command skips a control VM that cannot
// serve it, and that any other error is final.
func TestCommandFailsOverToLeader(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	_, status := run("certs", "-folder", folder, "-role", "operator", "ana")
	assert.Equal(t, status, ExitOK)
	files := peer.Files{Certificate: folder + "/ana.pem", Key: folder + "/ana-key.pem", Authority: folder + "/ca.pem"}
	keys, err := peer.LoadCredentials(files)
	assert.NilError(t, err)
	leader := startVM(t, keys, fakeControlVM{})
	for kind, want := range map[fault.Kind]int{
		fault.NotLeader: ExitOK, fault.NoQuorum: ExitOK, fault.StorageFailed: ExitOK,
		fault.PlanStale: ExitStale, fault.InvalidArgument: ExitRefused,
	} {
		first := startVM(t, keys, fakeControlVM{err: fault.New(kind, "no")})
		_, status := run("status", "-control", first+","+leader,
			"-certificate", files.Certificate, "-key", files.Key, "-authority", files.Authority)
		assert.Equal(t, status, want, string(kind))
	}
}
