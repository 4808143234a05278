package keeper

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// orderTimeout bounds a change or a read: operators wait a second before they go to
// another control VM.
const orderTimeout = 900 * time.Millisecond

// Declarations is what operators may do with declared configurations.
type Declarations struct {
	replica      *replica
	log          *logging.Logger
	operatorPort string
}

// Declare puts a configuration in force that was found valid. It returns when a
// quorum has it on its disks. One that is not newer than the one held changes
// nothing, and that is confirmed as well. It fails with the kinds NotLeader,
// NoQuorum and StorageFailed, and may then still take effect, but for NotLeader.
func (d *Declarations) Declare(ctx context.Context, version uint64, document []byte) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	node, _, err := d.replica.current()
	if err != nil {
		return err
	}
	command, err := proto.Marshal(&chicoryv1.Command{Command: &chicoryv1.Command_Declare{
		Declare: &chicoryv1.Declaration{Version: version, Document: document},
	}})
	if err != nil {
		return errors.Trace(err)
	}
	begin := time.Now()
	_, err = node.Propose(ctx, command)
	fields := logging.Fields{"version": version, "bytes": len(document), "ms": time.Since(begin).Milliseconds()}
	if err != nil {
		fields["reason"] = err
		d.log.Warn(logging.DeclarationRefused, fields)
		return err
	}
	d.log.Info(logging.DeclarationAccepted, fields)
	return nil
}

// Newest returns the newest declaration; none that was confirmed before the call is
// newer. It is nil before the first one. It fails with the kinds NotLeader, NoQuorum
// and StorageFailed.
func (d *Declarations) Newest(ctx context.Context) (*chicoryv1.Declaration, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
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

// Leader returns the operator address of the control VM that leads, if another one
// is known to.
func (d *Declarations) Leader() (address string, ok bool) {
	node, _, err := d.replica.current()
	if err != nil {
		return "", false
	}
	leader, ok := node.Leader()
	if !ok || leader.ID == d.replica.id {
		return "", false
	}
	host, _, err := net.SplitHostPort(leader.Address)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(host, d.operatorPort), true
}

// LogRefusal logs a change that was refused before it was proposed.
func (d *Declarations) LogRefusal(err error, bytes int) {
	d.log.Warn(logging.DeclarationRefused, logging.Fields{"reason": fault.Of(err), "bytes": bytes})
}
