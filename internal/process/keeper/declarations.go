package keeper

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// orderTimeout bounds a change or a read: operators wait a second before they go to
// another control VM.
const orderTimeout = 900 * time.Millisecond

// Declarations is what operators may do with declared configurations, at any control
// VM. One that doesn't lead asks the leader, so that the operator needs one answer.
type Declarations struct {
	replica *replica
	log     *logging.Logger
	peers   *http.Client
}

func newDeclarations(r *replica, log *logging.Logger) *Declarations {
	return &Declarations{replica: r, log: log, peers: peer.NewPlainClient()}
}

// Declare puts a configuration in force that was found valid. It returns when a
// quorum has it on its disks. One that is not newer than the one held changes
// nothing, and that is confirmed as well. It fails with the kinds NotLeader,
// NoQuorum and StorageFailed, and may then still take effect, but for NotLeader.
func (d *Declarations) Declare(ctx context.Context, version uint64, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	begin := time.Now()
	by, err := d.declareAnywhere(ctx, version, document)
	fields := logging.Fields{
		"version": version, "bytes": len(document), "by": by, "ms": time.Since(begin).Milliseconds(),
	}
	if err != nil {
		fields["reason"] = err
		d.log.Warn(logging.DeclarationRefused, fields)
		return err
	}
	d.log.Info(logging.DeclarationAccepted, fields)
	return nil
}

// declareAnywhere commits here or at the leader. by says who confirmed it.
func (d *Declarations) declareAnywhere(ctx context.Context, version uint64, document []byte) (by string, err error) {
	if committed, _ := d.replica.declaration(); committed.GetVersion() >= version {
		return "committed before", nil
	}
	declaration, err := declared.Pack(version, document)
	if err != nil {
		return "", errors.Trace(err)
	}
	err = d.declareHere(ctx, declaration)
	if !fault.Is(err, fault.NotLeader) {
		return "this VM", err
	}
	leader, ok := d.leader()
	if !ok {
		return "", err
	}
	client := chicoryv1connect.NewDeclarationServiceClient(d.peers, peer.PlainURL(leader), peer.Uncompressed)
	_, err = client.Declare(ctx, connect.NewRequest(&chicoryv1.DeclareRequest{Declaration: declaration}))
	return leader, fromLeader(err)
}

func (d *Declarations) declareHere(ctx context.Context, declaration *chicoryv1.Declaration) error {
	node, _, err := d.replica.current()
	if err != nil {
		return err
	}
	command, err := proto.Marshal(&chicoryv1.Command{Command: &chicoryv1.Command_Declare{Declare: declaration}})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = node.Propose(ctx, command)
	return err
}

// fromLeader turns the failure of a call to the leader into one that may be tried
// again: whether the leader committed is not known.
func fromLeader(err error) error {
	if err == nil {
		return nil
	}
	return fault.New(fault.NoQuorum, "the leader gave no confirmation: %v", err)
}

// Newest returns the newest declaration; none that was confirmed before the call is
// newer. It is nil before the first one. It fails with the kinds NotLeader, NoQuorum
// and StorageFailed.
func (d *Declarations) Newest(ctx context.Context) (*chicoryv1.Declaration, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	newest, err := d.newestHere(ctx)
	if !fault.Is(err, fault.NotLeader) {
		return newest, err
	}
	leader, ok := d.leader()
	if !ok {
		return nil, err
	}
	client := chicoryv1connect.NewDeclarationServiceClient(d.peers, peer.PlainURL(leader), peer.Uncompressed)
	resp, err := client.Newest(ctx, connect.NewRequest(&chicoryv1.NewestRequest{}))
	if err != nil {
		return nil, fromLeader(err)
	}
	return resp.Msg.GetDeclaration(), nil
}

func (d *Declarations) newestHere(ctx context.Context) (*chicoryv1.Declaration, error) {
	node, machine, err := d.replica.current()
	if err != nil {
		return nil, err
	}
	if err := node.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	newest, _ := machine.Declaration()
	return newest, nil
}

// leader returns the peer address of the control VM that leads, if another one is
// known to.
func (d *Declarations) leader() (address string, ok bool) {
	node, _, err := d.replica.current()
	if err != nil {
		return "", false
	}
	leader, ok := node.Leader()
	return leader.Address, ok && leader.ID != d.replica.id
}

// LogRefusal logs a change that was refused before it was proposed.
func (d *Declarations) LogRefusal(err error, bytes int) {
	d.log.Warn(logging.DeclarationRefused, logging.Fields{"reason": fault.Of(err), "bytes": bytes})
}

// declarationService serves the other control VMs.
type declarationService struct{ d *Declarations }

// Declare implements the declaration service.
func (s declarationService) Declare(ctx context.Context, req *connect.Request[chicoryv1.DeclareRequest]) (*connect.Response[chicoryv1.DeclareResponse], error) {
	if err := s.d.declareHere(ctx, req.Msg.GetDeclaration()); err != nil {
		return nil, fault.Answer(err, "")
	}
	return connect.NewResponse(&chicoryv1.DeclareResponse{}), nil
}

// Newest implements the declaration service.
func (s declarationService) Newest(ctx context.Context, _ *connect.Request[chicoryv1.NewestRequest]) (*connect.Response[chicoryv1.NewestResponse], error) {
	newest, err := s.d.newestHere(ctx)
	if err != nil {
		return nil, fault.Answer(err, "")
	}
	return connect.NewResponse(&chicoryv1.NewestResponse{Declaration: newest}), nil
}
