package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Peer is another entry VM.
type Peer struct {
	ID               string
	PeerAddress      string // IP:port
	AvailabilityZone string
	// CutOff: the VM reaches no target itself.
	CutOff bool
}

// EntryVM returns the protobuf message for a peer.
func (p Peer) EntryVM() *chicoryv1.EntryVM {
	return &chicoryv1.EntryVM{Id: p.ID, PeerAddress: p.PeerAddress, AvailabilityZone: p.AvailabilityZone, CutOff: p.CutOff}
}

func newPeer(vm *chicoryv1.EntryVM) Peer {
	return Peer{ID: vm.GetId(), PeerAddress: vm.GetPeerAddress(), AvailabilityZone: vm.GetAvailabilityZone(), CutOff: vm.GetCutOff()}
}

// applyEntryVMs updates the entry VMs from a message of the leader. A leader of an earlier
// release names none.
func (s *feedState) applyEntryVMs(m *chicoryv1.FollowResponse, now time.Time) {
	if m.GetEntryVmsAreWhole() {
		s.peers, s.peersCompleteAt = map[string]Peer{}, now.Add(loadLifetime)
	}
	if s.peers == nil {
		return
	}
	for _, vm := range m.GetEntryVms() {
		s.peers[vm.GetId()] = newPeer(vm)
	}
	for _, id := range m.GetEntryVmsGone() {
		delete(s.peers, id)
	}
}

// updatePeers returns the other entry VMs according to the leader, whose message was applied
// to state. Entry VMs share with a new leader one after the other, so those that the previous
// one named stay until all that are left must have done so.
func (f *Follower) updatePeers(m *chicoryv1.FollowResponse, state *feedState, now time.Time) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := maps.Clone(state.peers)
	if now.Before(state.peersCompleteAt) {
		for id, p := range f.peers {
			if _, named := peers[id]; !named && !slices.Contains(m.GetEntryVmsGone(), id) {
				peers[id] = p
			}
		}
	}
	delete(peers, f.opts.ID)
	f.peers = peers
	return slices.SortedFunc(maps.Values(peers), func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
}
