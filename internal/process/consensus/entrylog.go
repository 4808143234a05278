package consensus

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// entryLog is the part of the log after base, in memory. Entries up to base are
// covered by a snapshot.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*chicoryv1.LogEntry
	// memberships are those at and after base, oldest first.
	memberships []membershipAt
}

type membershipAt struct {
	index   uint64
	members membership
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns false for an index before base or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].GetTerm(), true
}

// from returns entries from index on, within the bounds of one message, but at
// least one if there is any. The caller makes sure that index is after base.
func (l *entryLog) from(index uint64) []*chicoryv1.LogEntry {
	if index > l.last() {
		return nil
	}
	all := l.entries[index-l.base-1:]
	count, size := 0, 0
	for count < len(all) && count < maxBatchEntries {
		size += proto.Size(all[count])
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	return append([]*chicoryv1.LogEntry(nil), all[:count]...)
}

// put adds entries; one with an index already present replaces that entry and
// all later ones.
func (l *entryLog) put(entries []*chicoryv1.LogEntry) {
	if len(entries) == 0 {
		return
	}
	l.truncate(entries[0].GetIndex() - 1)
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.GetMembership() != nil {
			l.memberships = append(l.memberships, membershipAt{
				index:   e.GetIndex(),
				members: membershipOf(e.GetMembership()),
			})
		}
	}
}

// truncate drops the entries after index.
func (l *entryLog) truncate(index uint64) {
	if index >= l.last() {
		return
	}
	keep := index - l.base
	l.entries = append([]*chicoryv1.LogEntry(nil), l.entries[:keep]...)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]*chicoryv1.LogEntry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// startAt replaces the whole log by what a snapshot covers.
func (l *entryLog) startAt(s *chicoryv1.SnapshotFile) {
	*l = entryLog{
		base:        s.GetIndex(),
		baseTerm:    s.GetTerm(),
		memberships: []membershipAt{{s.GetIndex(), membershipOf(s.GetMembership())}},
	}
}

// current returns the newest membership in the log and its index.
func (l *entryLog) current() (membership, uint64) {
	if len(l.memberships) == 0 {
		return nil, 0
	}
	newest := l.memberships[len(l.memberships)-1]
	return newest.members, newest.index
}

// membershipAt returns the membership in force at index.
func (l *entryLog) membershipAt(index uint64) membership {
	var m membership
	for _, at := range l.memberships {
		if at.index <= index {
			m = at.members
		}
	}
	return m
}
