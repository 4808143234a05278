package state

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/ledger"
	"github.com/chicoryswitch/chicoryswitch/internal/version/config"
	"github.com/chicoryswitch/chicoryswitch/internal/version/plan"
)

// Snapshot implements consensus.StateMachine. It returns an encoded StateSnapshot;
// equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	claims, floor := m.callLedger.Export()
	s := &chicoryv1.StateSnapshot{
		Configuration:     m.view.Raw(),
		EndedMoves:        m.endedMoves,
		History:           m.history,
		Claims:            claims,
		LedgerFloorUnixMs: floor,
		UnixMs:            m.latestEntryUnixMs,
		Fencing:           m.fencing,
		LeaseHolder:       m.leaseHolder,
		LeaseDurationMs:   m.leaseDurationMs,
		Declaration:       m.declaration,
	}
	for _, item := range sortedKeys(m.itemRevisions) {
		s.ItemRevisions = append(s.ItemRevisions, &chicoryv1.ItemRevision{Item: string(item), Revision: m.itemRevisions[item]})
	}
	for _, id := range sortedKeys(m.results) {
		s.Results = append(s.Results, m.results[id])
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return b, errors.Trace(err)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Restore implements consensus.StateMachine. It replaces the whole state. The
// configuration's revision never decreases, because a snapshot is only installed over
// an older state.
func (m *Machine) Restore(snapshot []byte) error {
	s := &chicoryv1.StateSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return errors.Annotate(err, "decode state snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := s.GetConfiguration()
	if c == nil {
		c = &chicoryv1.Configuration{}
	}
	m.view = config.NewView(c)
	m.routerConfig = routerConfiguration(c)
	m.endedMoves = s.GetEndedMoves()
	m.history = s.GetHistory()
	m.callLedger = ledger.New(m.settings)
	if err := m.callLedger.Restore(s.GetClaims(), s.GetLedgerFloorUnixMs()); err != nil {
		return errors.Annotate(err, "restore call ledger")
	}
	m.itemRevisions = map[plan.Item]uint64{}
	for _, i := range s.GetItemRevisions() {
		m.itemRevisions[plan.Item(i.GetItem())] = i.GetRevision()
	}
	m.results = map[string]*chicoryv1.ResultRecord{}
	for _, r := range s.GetResults() {
		m.results[r.GetRequestId()] = r
	}
	m.latestEntryUnixMs = s.GetUnixMs()
	m.fencing = s.GetFencing()
	m.leaseHolder = s.GetLeaseHolder()
	m.leaseDurationMs = s.GetLeaseDurationMs()
	m.leaseAppliedAt = time.Now()
	m.declaration = s.GetDeclaration()
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}
