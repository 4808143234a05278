// Package control connects a router to the control VMs. It sends claims, outcomes and
// reports to the leader, and watches the configuration.
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

// Timing of requests to the control VMs.
const (
	// attemptTimeout limits the duration of one request to one control VM.
	attemptTimeout = 1500 * time.Millisecond
	// electionRetryDelay is the delay before retrying after every control VM responded
	// that it is not the leader.
	electionRetryDelay = 100 * time.Millisecond
)

// VM identifies a control VM and its peer address.
type VM struct {
	ID      string
	Address string
}

// Client sends requests to the leader of the control VMs. It is safe for concurrent use.
type Client struct {
	peers    *peer.Client
	vms      []VM
	services map[string]chicoryv1connect.ControlServiceClient // by VM ID

	mu     sync.Mutex // guards leader
	leader int        // index of the presumed leader
}

// NewClient returns a client that tries the VMs in turn until it finds the leader. peers
// must not be shared with other users: its connections are replaced after a request
// without a response, because they may be permanently dead.
func NewClient(vms []VM, peers *peer.Client) *Client {
	c := &Client{peers: peers, vms: vms, services: map[string]chicoryv1connect.ControlServiceClient{}}
	for _, vm := range vms {
		c.services[vm.ID] = chicoryv1connect.NewControlServiceClient(peers.Client, peer.BaseURL(vm.Address), peer.ReadLimit)
	}
	return c
}

// Claim commits claims at the leader. An error of kind NoQuorum means that they may have
// been committed, NotLeader that they were certainly not committed.
func (c *Client) Claim(ctx context.Context, req *chicoryv1.ClaimRequest) (*chicoryv1.ClaimResponse, error) {
	return callLeader(ctx, c, req, chicoryv1connect.ControlServiceClient.Claim)
}

// Close commits call outcomes at the leader. Errors are as for Claim.
func (c *Client) Close(ctx context.Context, req *chicoryv1.CloseRequest) (*chicoryv1.CloseResponse, error) {
	return callLeader(ctx, c, req, chicoryv1connect.ControlServiceClient.Close)
}

// Report sends a heartbeat with evidence. The leader responds only after a quorum has
// confirmed its leadership, so the revision in the response is not older than any
// revision committed before the call.
func (c *Client) Report(ctx context.Context, req *chicoryv1.ReportRequest) (*chicoryv1.ReportResponse, error) {
	return callLeader(ctx, c, req, chicoryv1connect.ControlServiceClient.Report)
}

// method is a method of ControlServiceClient with request Q and response A.
type method[Q, A any] func(chicoryv1connect.ControlServiceClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)

// callLeader sends req to the presumed leader and, on NotLeader errors, to other VMs
// until ctx is done. A request whose response was lost is not retried.
func callLeader[Q, A any](ctx context.Context, c *Client, req *Q, call method[Q, A]) (*A, error) {
	for {
		for range c.vms {
			if ctx.Err() != nil {
				return nil, errNoLeader()
			}
			vm := c.presumedLeader()
			resp, err := callVM(ctx, c, vm, req, call)
			if err == nil {
				return resp, nil
			}
			if !fault.Is(err, fault.NotLeader) {
				if mayHaveLostLeadership(ctx, err) {
					c.switchLeader(vm, "")
				}
				return nil, err
			}
			c.switchLeader(vm, fault.Of(err).Leader)
		}
		select {
		case <-time.After(electionRetryDelay):
		case <-ctx.Done():
			return nil, errNoLeader()
		}
	}
}

// errNoLeader returns the error for a request that reached no leader before ctx was done.
func errNoLeader() error {
	return fault.New(fault.NotLeader, "no control VM is the leader")
}

// mayHaveLostLeadership reports whether err suggests that the VM is no longer the leader.
// This is not the case if a leader responded with the error, or the caller canceled the
// request.
func mayHaveLostLeadership(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	return fault.Is(err, fault.NoQuorum) || fault.Is(err, fault.StorageFailed)
}

func callVM[Q, A any](ctx context.Context, c *Client, vm VM, req *Q, call method[Q, A]) (*A, error) {
	start := time.Now()
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := call(c.services[vm.ID], attemptCtx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	if f := fault.FromConnect(err); f != nil {
		return nil, f
	}
	if errors.Is(attemptCtx.Err(), context.DeadlineExceeded) {
		c.peers.ReplaceConnections(start)
	}
	return nil, fault.New(fault.NoQuorum, "no response from a control VM: %v", err)
}

func (c *Client) presumedLeader() VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[c.leader]
}

// switchLeader changes the presumed leader from vm to the VM with ID next, or to the
// following one in the list if there is no such VM. It does nothing if another request
// has changed the presumed leader already.
func (c *Client) switchLeader(vm VM, next string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vms[c.leader] != vm {
		return
	}
	for i, v := range c.vms {
		if v.ID == next {
			c.leader = i
			return
		}
	}
	c.leader = (c.leader + 1) % len(c.vms)
}
