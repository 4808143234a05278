package consensus

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// entryLog is the in-memory part of the log, after baseIndex. Entries up to baseIndex
// are covered by a snapshot.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*chicoryv1.LogEntry
	// memberships are those in force at baseIndex and set after it, oldest first.
	memberships []indexedMembership
}

// indexedMembership is a membership and the index of the entry that set it.
type indexedMembership struct {
	index   uint64
	members membership
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. It returns false for an index before
// baseIndex or after the last entry.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

// entriesFrom returns the entries from index on that fit into one message, but at least
// one if there is any. index must be after baseIndex.
func (l *entryLog) entriesFrom(index uint64) []*chicoryv1.LogEntry {
	if index > l.lastIndex() {
		return nil
	}
	all := l.entries[index-l.baseIndex-1:]
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

// appendEntries appends entries. Existing entries at and after the first index are
// replaced.
func (l *entryLog) appendEntries(entries []*chicoryv1.LogEntry) {
	if len(entries) == 0 {
		return
	}
	l.truncate(entries[0].GetIndex() - 1)
	l.entries = append(l.entries, entries...)
	for _, e := range entries {
		if e.GetMembership() != nil {
			l.memberships = append(l.memberships, indexedMembership{
				index:   e.GetIndex(),
				members: membershipFromProto(e.GetMembership()),
			})
		}
	}
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	if index >= l.lastIndex() {
		return
	}
	keep := index - l.baseIndex
	l.entries = append([]*chicoryv1.LogEntry(nil), l.entries[:keep]...)
	for len(l.memberships) > 0 && l.memberships[len(l.memberships)-1].index > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]*chicoryv1.LogEntry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// resetTo empties the log so that it starts after the snapshot.
func (l *entryLog) resetTo(s *chicoryv1.SnapshotFile) {
	*l = entryLog{
		baseIndex:   s.GetIndex(),
		baseTerm:    s.GetTerm(),
		memberships: []indexedMembership{{s.GetIndex(), membershipFromProto(s.GetMembership())}},
	}
}

// latestMembership returns the newest membership in the log and its index. A
// membership applies as soon as it is appended, before it is committed.
func (l *entryLog) latestMembership() (membership, uint64) {
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
