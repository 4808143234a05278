package consensus

import (
	"slices"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// replica identifies one data folder of one control VM.
type replica struct {
	id          string
	incarnation string
}

func replicaFromProto(r *chicoryv1.Replica) replica {
	return replica{id: r.GetId(), incarnation: r.GetIncarnation()}
}

func (r replica) toProto() *chicoryv1.Replica {
	if r == (replica{}) {
		return nil
	}
	return &chicoryv1.Replica{Id: r.id, Incarnation: r.incarnation}
}

// member is a replica in the membership. It is a learner unless it is a voter.
type member struct {
	replica replica
	voter   bool
}

// membership lists the members in the order in which they were added. A value is
// immutable once it is in the log.
type membership []member

func membershipFromProto(m *chicoryv1.Membership) membership {
	var out membership
	for _, x := range m.GetMembers() {
		out = append(out, member{replica: replicaFromProto(x.GetReplica()), voter: x.GetVoter()})
	}
	return out
}

func (m membership) toProto() *chicoryv1.Membership {
	out := &chicoryv1.Membership{}
	for _, x := range m {
		out.Members = append(out.Members, &chicoryv1.ReplicaMember{
			Replica: x.replica.toProto(),
			Voter:   x.voter,
		})
	}
	return out
}

func (m membership) find(r replica) (member, bool) {
	for _, x := range m {
		if x.replica == r {
			return x, true
		}
	}
	return member{}, false
}

func (m membership) isVoter(r replica) bool {
	x, ok := m.find(r)
	return ok && x.voter
}

// hasQuorum reports whether a majority of the voters satisfy has.
func (m membership) hasQuorum(has func(replica) bool) bool {
	voters, count := 0, 0
	for _, x := range m {
		if !x.voter {
			continue
		}
		voters++
		if has(x.replica) {
			count++
		}
	}
	return count > voters/2
}

// quorumIndex returns the largest index that a majority of the voters have reached.
func (m membership) quorumIndex(reached func(replica) uint64) uint64 {
	var indexes []uint64
	for _, x := range m {
		if x.voter {
			indexes = append(indexes, reached(x.replica))
		}
	}
	if len(indexes) == 0 {
		return 0
	}
	slices.Sort(indexes)
	return indexes[(len(indexes)-1)/2]
}

// withLearner returns a copy with r as the only learner of its ID.
func (m membership) withLearner(r replica) membership {
	var out membership
	for _, x := range m {
		if x.voter || x.replica.id != r.id {
			out = append(out, x)
		}
	}
	return append(out, member{replica: r})
}

// withVoter returns a copy in which the learner r is promoted to a voter.
func (m membership) withVoter(r replica) membership {
	out := slices.Clone(m)
	for i := range out {
		if out[i].replica == r {
			out[i].voter = true
		}
	}
	return out
}

// without returns a copy without r.
func (m membership) without(r replica) membership {
	return slices.DeleteFunc(slices.Clone(m), func(x member) bool { return x.replica == r })
}

// superseded returns a voter for whose ID a newer incarnation is also a voter.
func (m membership) superseded() (replica, bool) {
	newest := map[string]replica{}
	for _, x := range m {
		if x.voter {
			newest[x.replica.id] = x.replica
		}
	}
	for _, x := range m {
		if x.voter && newest[x.replica.id] != x.replica {
			return x.replica, true
		}
	}
	return replica{}, false
}

// newestOf returns the most recently added member with the ID.
func (m membership) newestOf(id string) (replica, bool) {
	for _, x := range slices.Backward(m) {
		if x.replica.id == id {
			return x.replica, true
		}
	}
	return replica{}, false
}
