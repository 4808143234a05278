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

// Bounds of one command.
const (
	commandTimeout = 30 * time.Second
	// attemptTimeout bounds one question to one control VM, which may be frozen.
	attemptTimeout = 2 * time.Second
	electionPause  = 200 * time.Millisecond
	electionTries  = 25
)

// clients returns one client for each control VM.
func (a *app) clients() ([]chicoryv1connect.OperatorServiceClient, error) {
	if a.control == "" {
		return nil, errors.New("the flag -control is missing")
	}
	keys, err := peer.LoadKeys(a.keys)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.ClientConfig(), DisableKeepAlives: true}}
	var out []chicoryv1connect.OperatorServiceClient
	for _, address := range strings.Split(a.control, ",") {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, errors.Errorf("control address %q is not IP:port", address)
		}
		out = append(out, chicoryv1connect.NewOperatorServiceClient(h, "https://"+address))
	}
	return out, nil
}

type method[Q, A any] func(chicoryv1connect.OperatorServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// ask sends req to the control VMs in turn until the leader answers. A request
// whose answer was lost may be sent again: reads change nothing, and a confirm
// with the same identity gets its first result.
func ask[Q, A any](ctx context.Context, a *app, req *Q, call method[Q, A]) (*A, error) {
	services, err := a.clients()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var last error
	for range electionTries {
		for _, s := range services {
			resp, err := askOne(ctx, s, req, call)
			if err == nil {
				return resp, nil
			}
			f := fault.FromAnswer(err)
			if f != nil && !mayBeAnswered(f.Kind) {
				return nil, f
			}
			last = err
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(electionPause)
	}
	return nil, fault.New(fault.NoQuorum, "no control VM answers as leader: %v", last)
}

// mayBeAnswered reports whether another control VM may answer after a refusal of
// the kind.
func mayBeAnswered(kind fault.Kind) bool {
	return kind == fault.NotLeader || kind == fault.NoQuorum || kind == fault.StorageFailed
}

func askOne[Q, A any](ctx context.Context, s chicoryv1connect.OperatorServiceClient, req *Q, call method[Q, A]) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := call(s, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
