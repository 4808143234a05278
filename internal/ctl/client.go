package ctl

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Limits of one command. The control VMs are tried in rounds, so that a command
// succeeds across a leader election.
const (
	commandTimeout = 30 * time.Second
	// attemptTimeout limits one request to one control VM, which may hang.
	attemptTimeout = 2 * time.Second
	roundInterval  = 200 * time.Millisecond
	maxRounds      = 25
)

// clients returns a client for each control VM.
func (a *app) clients() ([]chicoryv1connect.OperatorServiceClient, error) {
	if a.control == "" {
		return nil, errors.New("the flag -control is missing")
	}
	keys, err := peer.LoadCredentials(a.keys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.ClientConfig(), DisableKeepAlives: true}}
	var out []chicoryv1connect.OperatorServiceClient
	for _, address := range strings.Split(a.control, ",") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Errorf("control address %q is not IP:port", address)
		}
		out = append(out, chicoryv1connect.NewOperatorServiceClient(h, "https://"+address, peer.ReadLimit))
	}
	return out, nil
}

type rpcMethod[Req, Resp any] func(chicoryv1connect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// callLeader sends req to the control VMs in turn until the leader responds. It may
// resend a request whose response was lost: reads change nothing, and a confirm with
// the same request ID returns its first result.
func callLeader[Req, Resp any](ctx context.Context, a *app, req *Req, call rpcMethod[Req, Resp]) (*Resp, error) {
	services, err := a.clients()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var lastErr error
	for range maxRounds {
		for _, s := range services {
			resp, err := callOnce(ctx, s, req, call)
			if err == nil {
				return resp, nil
			}
			faultErr := fault.FromConnect(err)
			if faultErr != nil && !shouldTryNextVM(faultErr.Kind) {
				return nil, faultErr
			}
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(roundInterval)
	}
	return nil, fault.New(fault.NoQuorum, "no control VM responds as leader: %v", lastErr)
}

// shouldTryNextVM reports whether another control VM may be able to serve a request
// that failed with kind.
func shouldTryNextVM(kind fault.Kind) bool {
	return kind == fault.NotLeader || kind == fault.NoQuorum || kind == fault.StorageFailed
}

func callOnce[Req, Resp any](ctx context.Context, s chicoryv1connect.OperatorServiceClient, req *Req, call rpcMethod[Req, Resp]) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := call(s, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
