package feed

import (
	"container/list"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

const (
	// maxEntryVMsPerMessage limits the messages of a feed in which entry VMs are added, about
	// 5 KB. The first ones also have a part of the list of targets.
	maxEntryVMsPerMessage = 100
	// goneRetention is how long the ID of an entry VM that stopped sharing is kept for the
	// followers that know the VM. A feed on which nothing arrives is given up well before.
	goneRetention = time.Minute
)

// entryVMList holds the entry VMs that share with this control VM, in the order of their
// last change. It is safe for concurrent use.
type entryVMList struct {
	mu   sync.Mutex               // guards the fields below
	byID map[string]*sharingEntry // includes those that stopped sharing recently
	// byChange holds the entries of byID, the last changed one first.
	byChange *list.List
	// version increases with every change of an entry.
	version uint64
	// expiryCheckedAt is the time of the last search for entry VMs that stopped sharing.
	expiryCheckedAt time.Time
}

// sharingEntry is one entry VM of an entryVMList.
type sharingEntry struct {
	vm       *chicoryv1.EntryVM
	sharedAt time.Time
	// goneAt is the time at which its last share had expired; zero while it shares.
	goneAt time.Time
	// version is the version of the list at the last change.
	version uint64
	// place is the place in entryVMList.byChange.
	place *list.Element
}

func newEntryVMList() *entryVMList {
	return &entryVMList{byID: map[string]*sharingEntry{}, byChange: list.New()}
}

// update records that an entry VM shares. vm is nil if the VM runs an earlier release, which
// other entry VMs can't use.
func (l *entryVMList) update(vm *chicoryv1.EntryVM, now time.Time) {
	if vm.GetId() == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.byID[vm.GetId()]
	if e == nil {
		e = &sharingEntry{}
		e.place = l.byChange.PushFront(e)
		l.byID[vm.GetId()] = e
	}
	changed := !e.goneAt.IsZero() || !proto.Equal(e.vm, vm)
	e.vm, e.sharedAt, e.goneAt = vm, now, time.Time{}
	if changed {
		l.recordChange(e)
	}
}

// recordChange gives an entry the next version. The caller holds mu.
func (l *entryVMList) recordChange(e *sharingEntry) {
	l.version++
	e.version = l.version
	l.byChange.MoveToFront(e.place)
}

// removeExpired records which entry VMs stopped sharing, and removes those that did so long
// ago. The caller holds mu.
func (l *entryVMList) removeExpired(now time.Time) {
	if now.Sub(l.expiryCheckedAt) < ShareInterval {
		return
	}
	l.expiryCheckedAt = now
	for id, e := range l.byID {
		switch {
		case !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneRetention:
			l.byChange.Remove(e.place)
			delete(l.byID, id)
		case e.goneAt.IsZero() && now.Sub(e.sharedAt) > loadLifetime:
			e.goneAt = now
			l.recordChange(e)
		}
	}
}

// entryVMChanges is a part of the changes of an entryVMList.
type entryVMChanges struct {
	set  []*chicoryv1.EntryVM
	gone []string // IDs
	// version is the version of the list up to which changes are included; more reports
	// whether there are later ones.
	version uint64
	more    bool
}

// changesSince returns the changes after a version, the oldest first and at most
// maxEntryVMsPerMessage of them. If version is 0, they are the entry VMs that share.
func (l *entryVMList) changesSince(version uint64, now time.Time) entryVMChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	var oldest *list.Element
	for p := l.byChange.Front(); p != nil && p.Value.(*sharingEntry).version > version; p = p.Next() {
		oldest = p
	}
	c := entryVMChanges{version: version}
	for p := oldest; p != nil; p = p.Prev() {
		if len(c.set)+len(c.gone) == maxEntryVMsPerMessage {
			c.more = true
			return c
		}
		e := p.Value.(*sharingEntry)
		switch {
		case e.goneAt.IsZero():
			c.set = append(c.set, e.vm)
		case version > 0:
			c.gone = append(c.gone, e.vm.GetId())
		}
		c.version = e.version
	}
	c.version = l.version
	return c
}
