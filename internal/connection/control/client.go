// Package control connects a router to the control VMs: it finds the leader for
// claims and reports, and watches configurations.
package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

// Bounds of one request to a control VM.
const (
	attemptTimeout = 1500 * time.Millisecond
	// electionPause is the wait after every control VM said that it doesn't lead.
	electionPause = 100 * time.Millisecond
)

// VM is one control VM.
type VM struct {
	ID      string
	Address string
}

// Client talks to the control VMs. It is safe for concurrent use.
type Client struct {
	peers    *peer.Client
	vms      []VM
	services map[string]chicoryv1connect.ControlServiceClient // by identity

	mu     sync.Mutex // guards leader
	leader int        // index of the presumed leader
}

// NewClient returns a client that asks the VMs in turn until one leads. p is for
// this client alone: after a question without an answer its connections are
// replaced, because they may have gone silent for good.
func NewClient(vms []VM, p *peer.Client) *Client {
	c := &Client{peers: p, vms: vms, services: map[string]chicoryv1connect.ControlServiceClient{}}
	for _, vm := range vms {
		c.services[vm.ID] = chicoryv1connect.NewControlServiceClient(p.Client, peer.BaseURL(vm.Address))
	}
	return c
}

// Claim commits claims at the leader. An error of the kind NoQuorum means that
// they may have been committed; NotLeader that they surely were not.
func (c *Client) Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error) {
	return atLeader(ctx, c, req, chicoryv1connect.ControlServiceClient.Claim)
}

// Close commits outcomes at the leader, with errors as Claim.
func (c *Client) Close(ctx context.Context, req *chicoryv1.CloseRequest) (*chicoryv1.CloseResponse, error) {
	return atLeader(ctx, c, req, chicoryv1connect.ControlServiceClient.Close)
}

// Report sends a heartbeat with evidence. The leader answers only after a quorum
// has confirmed it, so the revision in the answer is not older than any revision
// committed before the call.
func (c *Client) Report(ctx context.Context, req *chicoryv1.ReportRequest) (*chicoryv1.ReportResponse, error) {
	return atLeader(ctx, c, req, chicoryv1connect.ControlServiceClient.Report)
}

type method[Q, A any] func(chicoryv1connect.ControlServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// atLeader sends req to the presumed leader and follows NotLeader answers. A
// request whose answer was lost is not sent again.
func atLeader[Q, A any](ctx context.Context, c *Client, req *Q, call method[Q, A]) (*A, error) {
	for {
		for range c.vms {
			if ctx.Err() != nil {
				return nil, errNoLeader()
			}
			vm := c.presumedLeader()
			resp, err := callOne(ctx, c, vm, req, call)
			if err == nil {
				return resp, nil
			}
			if !fault.Is(err, fault.NotLeader) {
				if tellsAgainst(ctx, err) {
					c.moveOn(vm, "")
				}
				return nil, err
			}
			c.moveOn(vm, fault.Of(err).Leader)
		}
		select {
		case <-time.After(electionPause):
		case <-ctx.Done():
			return nil, errNoLeader()
		}
	}
}

// errNoLeader says that the request reached no leader in the caller's time.
func errNoLeader() error {
	return fault.New(fault.NotLeader, "no control VM leads")
}

// tellsAgainst reports whether another VM may lead after err. It may not when a
// leader answered, or the caller itself gave the request up.
func tellsAgainst(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	return fault.Is(err, fault.NoQuorum) || fault.Is(err, fault.StorageFailed)
}

func callOne[Q, A any](ctx context.Context, c *Client, vm VM, req *Q, call method[Q, A]) (*A, error) {
	began := time.Now()
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := call(c.services[vm.ID], attempt, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	if f := fault.FromAnswer(err); f != nil {
		return nil, f
	}
	if errors.Is(attempt.Err(), context.DeadlineExceeded) {
		c.peers.ReplaceConnections(began)
	}
	return nil, fault.New(fault.NoQuorum, "no answer from a control VM: %v", err)
}

func (c *Client) presumedLeader() VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[c.leader]
}

// moveOn presumes another leader than vm: the named one, or the next VM.
func (c *Client) moveOn(vm VM, named string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms[c.leader] != vm {
		return
	}
	for i, v := range c.vms {
		if v.ID == named {
			c.leader = i
			return
		}
	}
	c.leader = (c.leader + 1) % len(c.vms)
}
