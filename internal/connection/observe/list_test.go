package observe

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

const (
	controlVMs   = 9
	pageEntries  = 50
	pageDuration = 3 * time.Millisecond
	// feedInterval is the interval between two messages of a feed.
	feedInterval = 300 * time.Millisecond
)

// platformList is the platform's list: it counts the calls for its pages.
type platformList struct {
	mu      sync.Mutex // guards the fields below
	targets []*chicoryv1.ListedTarget
	calls   int
}

func newPlatformList(n int) *platformList {
	l := &platformList{}
	for i := range n {
		l.targets = append(l.targets, &chicoryv1.ListedTarget{Address: fmt.Sprint("t", i), Instance: fmt.Sprint("i", i), Service: "s"})
	}
	return l
}

// leave marks a target as leaving.
func (l *platformList) leave(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[i] = &chicoryv1.ListedTarget{Address: fmt.Sprint("t", i), Instance: fmt.Sprint("i", i), Service: "s", Leaving: true}
}

func (l *platformList) countCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// reader is one control VM's access to the list.
type reader struct {
	list *platformList
	// failed: the VM is cut off from the platform, or frozen.
	failed func() bool
}

func (r *reader) ReadTargets(ctx context.Context) ([]*chicoryv1.ListedTarget, error) {
	pages := (len(r.list.targets) + pageEntries - 1) / pageEntries
	if r.failed() {
		<-ctx.Done()
		return nil, errors.Trace(ctx.Err())
	}
	time.Sleep(time.Duration(pages) * pageDuration)
	r.list.mu.Lock()
	defer r.list.mu.Unlock()
	r.list.calls += pages
	return append([]*chicoryv1.ListedTarget(nil), r.list.targets...), nil
}

// controlGroup is a group of control VMs that follow the first one, which leads.
type controlGroup struct {
	pollers []*TargetListPoller
	mu      sync.Mutex // guards the fields below
	// unreadable: the leader can't read the list. frozen: it sends nothing either.
	unreadable, frozen bool
}

func startControlGroup(ctx context.Context, list *platformList) *controlGroup {
	g := &controlGroup{}
	for i := range controlVMs {
		p := NewTargetListPoller(&reader{list, func() bool { return i == 0 && g.isFailed() }}, logging.Discard())
		g.pollers = append(g.pollers, p)
	}
	for i, p := range g.pollers {
		go p.Run(ctx, func() bool { return p.MustRead(i == 0) })
		if i > 0 {
			go g.relay(ctx, p)
		}
	}
	return g
}

// relay passes the leader's list on, as its feed does.
func (g *controlGroup) relay(ctx context.Context, to *TargetListPoller) {
	for ctx.Err() == nil {
		list, reading, changed := g.pollers[0].Targets()
		if list != nil && !g.isFrozen() {
			to.Accept(list, reading)
		}
		select {
		case <-changed:
		case <-time.After(feedInterval):
		case <-ctx.Done():
		}
	}
}

func (g *controlGroup) fail(unreadable, frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreadable, g.frozen = unreadable, frozen
}

func (g *controlGroup) isFailed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unreadable || g.frozen
}

func (g *controlGroup) isFrozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen
}

// longestDelay returns the time until each of the given control VMs knows that a target is
// leaving.
func longestDelay(list *platformList, target int, pollers []*TargetListPoller) time.Duration {
	list.leave(target)
	begin := time.Now()
	for _, p := range pollers {
		for {
			known, _, changed := p.Targets()
			if known.GetTargets()[target].GetLeaving() {
				break
			}
			<-changed
		}
	}
	return time.Since(begin)
}

// TestOneControlVMReadsTheTargetList is the load that large deployments put on the platform,
// which limits the calls of all VMs together: nine control VMs that each read every page every
// second.
func TestOneControlVMReadsTheTargetList(t *testing.T) {
	for targets, maxCallsPerSecond := range map[int]int{161: 12, 300: 12, 1000: 40} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				list := newPlatformList(targets)
				g := startControlGroup(ctx, list)
				time.Sleep(5 * time.Second)
				before := list.countCalls()
				const seconds = 30
				time.Sleep(seconds * time.Second)
				calls := (list.countCalls() - before) / seconds
				assert.Assert(t, calls <= maxCallsPerSecond, "%d calls a second", calls)
				delay := longestDelay(list, 7, g.pollers)
				assert.Assert(t, delay <= ListReadInterval+100*time.Millisecond, "%v", delay)
			})
		})
	}
}

// TestLostReaderOfTheTargetListIsReplaced checks how late the other control VMs hear of a
// leaving target when the one that reads the list for them fails right after a read.
func TestLostReaderOfTheTargetListIsReplaced(t *testing.T) {
	for name, failure := range map[string]struct{ unreadable, frozen bool }{
		"cut off from the platform": {unreadable: true},
		"frozen":                    {frozen: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				list := newPlatformList(161)
				g := startControlGroup(ctx, list)
				time.Sleep(5 * time.Second)
				g.fail(failure.unreadable, failure.frozen)
				delay := longestDelay(list, 7, g.pollers[1:])
				assert.Assert(t, delay <= ListReadInterval+2*time.Second, "%v", delay)

				g.fail(false, false)
				time.Sleep(5 * time.Second)
				before := list.countCalls()
				time.Sleep(10 * time.Second)
				assert.Assert(t, list.countCalls()-before <= 120, "one VM reads the list again")
			})
		})
	}
}

// TestOlderListIsNotAccepted guards against a delayed message that replaces a later reading.
func TestOlderListIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newPlatformList(3)
		p := NewTargetListPoller(&reader{list, func() bool { return false }}, logging.Discard())
		before := time.Now()
		time.Sleep(time.Second)
		p.read(t.Context())
		p.Accept(&chicoryv1.TargetList{}, Reading{Began: before, Ended: before})
		known, reading, _ := p.Targets()
		assert.Equal(t, len(known.GetTargets()), 3)
		assert.Assert(t, reading.Began.After(before))
	})
}
