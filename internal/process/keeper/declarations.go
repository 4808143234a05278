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

// operationTimeout limits a declaration or a read. Operators wait one second before
// they try another control VM.
const operationTimeout = 900 * time.Millisecond

// DeclarationStore lets operators declare and read configurations at any control VM. A
// control VM that is not the leader forwards the request to the leader, so that one
// request is enough for the operator.
type DeclarationStore struct {
	replica *replica
	log     *logging.Logger
	peers   *http.Client
}

func newDeclarationStore(r *replica, log *logging.Logger) *DeclarationStore {
	return &DeclarationStore{replica: r, log: log, peers: peer.NewPlainClient()}
}

// Declare puts a validated configuration in force. It returns once a quorum has it on
// disk. A version that is not newer than the current one changes nothing and is
// confirmed as well. Declare fails with kind NotLeader, NoQuorum or StorageFailed;
// after the last two, the declaration may still take effect.
func (d *DeclarationStore) Declare(ctx context.Context, version uint64, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	begin := time.Now()
	by, err := d.declareOrForward(ctx, version, document)
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

// declareOrForward commits the declaration here or at the leader. by says who confirmed
// it.
func (d *DeclarationStore) declareOrForward(ctx context.Context, version uint64, document []byte) (by string, err error) {
	if committed, _ := d.replica.declaration(); committed.GetVersion() >= version {
		return "committed before", nil
	}
	declaration, err := declared.Compress(version, document)
	if err != nil {
		return "", errors.Trace(err)
	}
	err = d.declareLocally(ctx, declaration)
	if !fault.Is(err, fault.NotLeader) {
		return "this VM", err
	}
	leader, ok := d.remoteLeader()
	if !ok {
		return "", err
	}
	client := chicoryv1connect.NewDeclarationServiceClient(d.peers, peer.PlainURL(leader), peer.Uncompressed, peer.ReadLimit)
	_, err = client.Declare(ctx, connect.NewRequest(&chicoryv1.DeclareRequest{Declaration: declaration}))
	return leader, wrapLeaderError(err)
}

func (d *DeclarationStore) declareLocally(ctx context.Context, declaration *chicoryv1.Declaration) error {
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

// wrapLeaderError converts the error of a call to the leader into a retryable one: it
// is not known whether the leader committed.
func wrapLeaderError(err error) error {
	if err == nil {
		return nil
	}
	return fault.New(fault.NoQuorum, "no confirmation from the leader: %v", err)
}

// Latest returns the latest declaration, or nil before the first. No declaration that
// was confirmed before the call is newer than the result. It fails with kind NotLeader,
// NoQuorum or StorageFailed.
func (d *DeclarationStore) Latest(ctx context.Context) (*chicoryv1.Declaration, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	latest, err := d.latestLocal(ctx)
	if !fault.Is(err, fault.NotLeader) {
		return latest, err
	}
	leader, ok := d.remoteLeader()
	if !ok {
		return nil, err
	}
	client := chicoryv1connect.NewDeclarationServiceClient(d.peers, peer.PlainURL(leader), peer.Uncompressed, peer.ReadLimit)
	resp, err := client.Newest(ctx, connect.NewRequest(&chicoryv1.NewestRequest{}))
	if err != nil {
		return nil, wrapLeaderError(err)
	}
	return resp.Msg.GetDeclaration(), nil
}

func (d *DeclarationStore) latestLocal(ctx context.Context) (*chicoryv1.Declaration, error) {
	node, machine, err := d.replica.current()
	if err != nil {
		return nil, err
	}
	if err := node.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	latest, _ := machine.Declaration()
	return latest, nil
}

// remoteLeader returns the peer address of the leading control VM, if it is known and
// is not this VM.
func (d *DeclarationStore) remoteLeader() (address string, ok bool) {
	node, _, err := d.replica.current()
	if err != nil {
		return "", false
	}
	leader, ok := node.Leader()
	return leader.Address, ok && leader.ID != d.replica.id
}

// LogRefusal logs a declaration that was refused before it was proposed.
func (d *DeclarationStore) LogRefusal(err error, bytes int) {
	d.log.Warn(logging.DeclarationRefused, logging.Fields{"reason": fault.Of(err), "bytes": bytes})
}

// declarationService serves requests that other control VMs forward to this one.
type declarationService struct{ d *DeclarationStore }

// Declare implements chicoryv1connect.DeclarationServiceHandler.
func (s declarationService) Declare(ctx context.Context, req *connect.Request[chicoryv1.DeclareRequest]) (*connect.Response[chicoryv1.DeclareResponse], error) {
	if err := s.d.declareLocally(ctx, req.Msg.GetDeclaration()); err != nil {
		return nil, fault.ToConnect(err, "")
	}
	return connect.NewResponse(&chicoryv1.DeclareResponse{}), nil
}

// Newest implements chicoryv1connect.DeclarationServiceHandler.
func (s declarationService) Newest(ctx context.Context, _ *connect.Request[chicoryv1.NewestRequest]) (*connect.Response[chicoryv1.NewestResponse], error) {
	latest, err := s.d.latestLocal(ctx)
	if err != nil {
		return nil, fault.ToConnect(err, "")
	}
	return connect.NewResponse(&chicoryv1.NewestResponse{Declaration: latest}), nil
}
