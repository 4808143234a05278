package entry

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/feed"
)

// otherVMs holds the other entry VMs. It is not modified.
type otherVMs struct {
	peers []feed.Peer
	// ips has the addresses of the peers, with the zero time, and those of VMs that were peers, with
	// the time at which they were found gone.
	ips map[netip.Addr]time.Time
}

// formerPeerLifetime is the time for which a VM that is no longer listed is one of the system: it may
// have lost the control VMs together with the targets.
const formerPeerLifetime = time.Minute

// setPeers replaces the other entry VMs. A feed passes the same ones several times a second.
func (r *routingState) setPeers(peers []feed.Peer, now time.Time) {
	if slices.Equal(peers, r.peers()) {
		return
	}
	next := &otherVMs{peers: peers, ips: r.formerIPs(now)}
	for _, p := range peers {
		if host, _, err := net.SplitHostPort(p.PeerAddress); err == nil {
			if ip, err := netip.ParseAddr(host); err == nil {
				next.ips[ip.Unmap()] = time.Time{}
			}
		}
	}
	r.otherVMs.Store(next)
}

// formerIPs returns the addresses of the present peers, as if they were gone now, and those of former
// ones whose lifetime has not passed.
func (r *routingState) formerIPs(now time.Time) map[netip.Addr]time.Time {
	ips := map[netip.Addr]time.Time{}
	if others := r.otherVMs.Load(); others != nil {
		for ip, goneAt := range others.ips {
			if goneAt.IsZero() {
				goneAt = now
			}
			if now.Sub(goneAt) < formerPeerLifetime {
				ips[ip] = goneAt
			}
		}
	}
	return ips
}

// peers returns the other entry VMs by ID, those that are cut off included. The result must
// not be modified.
func (r *routingState) peers() []feed.Peer {
	if others := r.otherVMs.Load(); others != nil {
		return others.peers
	}
	return nil
}

// isEntryVM reports whether another entry VM has, or lately had, the IP address.
func (r *routingState) isEntryVM(ip string) bool {
	others := r.otherVMs.Load()
	parsed, err := netip.ParseAddr(ip)
	if err != nil || others == nil {
		return false
	}
	goneAt, known := others.ips[parsed.Unmap()]
	return known && (goneAt.IsZero() || time.Since(goneAt) < formerPeerLifetime)
}

// isTarget reports whether the latest list has a target with the address, which may be
// leaving.
func (r *routingState) isTarget(address string) bool {
	addresses := r.targetAddresses.Load()
	return addresses != nil && (*addresses)[address]
}

// takesRequests reports whether the target at address wants further requests from this VM. Before the first
// configuration every target does, so that this VM can relay for others.
func (r *routingState) takesRequests(address string) bool {
	used := r.usedAddresses.Load()
	return (used == nil || (*used)[address]) && !r.limits.IsClosed(address)
}

// targetList returns the addresses of the latest list.
func (r *routingState) targetList() []string {
	addresses := r.targetAddresses.Load()
	if addresses == nil {
		return nil
	}
	return slices.Collect(maps.Keys(*addresses))
}

// selfIP returns the IP address that other entry VMs know this one by.
func (r *routingState) selfIP() net.IP {
	host, _, err := net.SplitHostPort(r.self.PeerAddress)
	if err != nil {
		return nil
	}
	return net.ParseIP(host)
}

// localEntryVM returns what this VM shares of itself.
func (r *routingState) localEntryVM() *chicoryv1.EntryVM {
	self := r.self
	self.CutOff = r.isCutOff != nil && r.isCutOff()
	return self.EntryVM()
}
