package control

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1/chicoryv1connect"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk"
	"github.com/chicoryswitch/chicoryswitch/internal/process/disk/disktest"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/settings"
)

// newSettings returns settings of the only control VM of a cluster, and the
// certificate authority that signed its certificate.
func newSettings(t *testing.T) (Settings, *certs.Authority) {
	t.Helper()
	authority, err := certs.OpenAuthority(t.TempDir())
	assert.NilError(t, err)
	s := Defaults()
	s.ID, s.AvailabilityZone, s.DataFolder = "c1", "a", t.TempDir()
	s.Keys, err = authority.Issue(peer.Identity{ID: s.ID, Role: peer.RoleControl})
	assert.NilError(t, err)
	s.PeerAddress, s.OperatorAddress, s.MonitorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	s.Control = []VM{{ID: s.ID, Address: s.PeerAddress}}
	return s, authority
}

func freeAddress(t *testing.T) settings.Address {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return settings.Address(ln.Addr().String())
}

// startSingleVM starts a control VM and waits until the cluster has an identity.
func startSingleVM(t *testing.T, s Settings, fs disk.FS) *Process {
	t.Helper()
	p, err := start(s, logging.Discard(), fs)
	assert.NilError(t, err)
	for {
		c, changed := p.machine.Configuration()
		if c.GetClusterId() != "" {
			return p
		}
		<-changed
	}
}

func operatorClient(t *testing.T, s Settings, authority *certs.Authority, name string) chicoryv1connect.OperatorServiceClient {
	t.Helper()
	files, err := authority.Issue(peer.Identity{ID: name, Role: peer.RoleOperator})
	assert.NilError(t, err)
	keys, err := peer.LoadCredentials(files)
	assert.NilError(t, err)
	transport := &http.Transport{TLSClientConfig: keys.ClientConfig()}
	t.Cleanup(transport.CloseIdleConnections)
	return chicoryv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, "https://"+string(s.OperatorAddress))
}

// A change is recorded under the name in the client's certificate, whatever name the
// request gives. Whether the change is in force everywhere is part of the response,
// but not of the replicated result.
func TestConfirmRecordsCertificateName(t *testing.T) {
	s, authority := newSettings(t)
	s.RouterTimeout = 1
	p := startSingleVM(t, s, disk.OS{})
	defer p.Stop()
	client := operatorClient(t, s, authority, "ana")
	change := &chicoryv1.Change{Change: &chicoryv1.Change_PutTeam{PutTeam: &chicoryv1.Team{Name: "t"}}}
	planned, err := client.Plan(t.Context(), connect.NewRequest(&chicoryv1.PlanRequest{Changes: []*chicoryv1.Change{change}}))
	assert.NilError(t, err)
	confirmed, err := client.Confirm(t.Context(), connect.NewRequest(&chicoryv1.ConfirmRequest{
		RequestId: "1", Operator: "mallory", Why: "test", Plan: planned.Msg.GetPlan(),
	}))
	assert.NilError(t, err)
	assert.Assert(t, confirmed.Msg.GetInForceEverywhere())
	history, err := client.History(t.Context(), connect.NewRequest(&chicoryv1.HistoryRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, history.Msg.GetEntries()[0].GetOperator(), "ana")
	b, err := p.machine.Snapshot()
	assert.NilError(t, err)
	replicated := &chicoryv1.StateSnapshot{}
	assert.NilError(t, proto.Unmarshal(b, replicated))
	assert.Assert(t, !replicated.GetResults()[0].GetResponse().GetInForceEverywhere())
}

// After a disk failure the process acknowledges nothing more, and reports the failure
// as the reason to end and for not being ready.
func TestDiskFailureEndsProcess(t *testing.T) {
	s, _ := newSettings(t)
	d := disktest.New()
	p := startSingleVM(t, s, d.Mount())
	defer p.Stop()
	d.SetFaults(disktest.Faults{FailSync: true})
	_, err := p.propose(context.Background(), &chicoryv1.Command{Command: &chicoryv1.Command_Expire{Expire: &chicoryv1.ExpireCommand{}}})
	assert.Assert(t, fault.Is(err, fault.StorageFailed), "%v", err)
	assert.Assert(t, fault.Is(<-p.Failed(), fault.StorageFailed))
	ok, reason := p.ready()
	assert.Assert(t, !ok)
	assert.Assert(t, strings.HasPrefix(reason, string(fault.StorageFailed)), reason)
}

// Two processes that share a data folder would both vote in elections.
func TestDataFolderIsLocked(t *testing.T) {
	s, _ := newSettings(t)
	p := startSingleVM(t, s, disk.OS{})
	second := s
	second.PeerAddress, second.OperatorAddress, second.MonitorAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	_, err := Start(second, logging.Discard())
	assert.ErrorContains(t, err, "used by another process")
	p.Stop()
	startSingleVM(t, second, disk.OS{}).Stop()
}
