package observe

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/pause"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

// TargetReader reads the list of targets from the platform.
type TargetReader interface {
	ReadTargets(ctx context.Context) ([]*chicoryv1.ListedTarget, error)
}

const (
	// ListReadInterval is the interval between reads of the platform's list. A leaving target
	// must stop receiving new requests within a few seconds after the list shows it.
	ListReadInterval = time.Second
	// listReadTimeout limits the duration of one read of all pages.
	listReadTimeout = 3 * time.Second
	// maxListAge is the age at which a list is considered stale.
	maxListAge = 2500 * time.Millisecond
	// takeOverAge is the age at which a control VM reads the list itself, since the one
	// that reads it for all does not: one read later than usual, and the interval between
	// two messages of a feed.
	takeOverAge = 1600 * time.Millisecond
	// needCheckInterval is the interval at which a poller that is not needed checks whether
	// it is.
	needCheckInterval = 200 * time.Millisecond
	// readTimePerTarget is added to the ages for each target of the list: the platform
	// limits the rate of calls, and a page has some 50 targets.
	readTimePerTarget = time.Millisecond
)

// IsStale reports whether a list of the given age may no longer be the platform's.
func IsStale(list *chicoryv1.TargetList, age time.Duration) bool {
	return age > maxListAge+time.Duration(len(list.GetTargets()))*readTimePerTarget
}

// TargetListPoller reads the platform's list of targets periodically, or takes over what
// another VM has read, and holds the latest one. It is safe for concurrent use.
type TargetListPoller struct {
	reader TargetReader
	logger *logging.Logger

	mu      sync.Mutex // guards the fields below
	list    *chicoryv1.TargetList
	reading Reading
	// accepted is the list that Accept took over last, nil after an own read.
	accepted *chicoryv1.TargetList
	failing  bool          // the last read failed
	changed  chan struct{} // closed and replaced when list changes
}

// NewTargetListPoller returns a poller that has no list yet. Polling starts with Run.
func NewTargetListPoller(reader TargetReader, logger *logging.Logger) *TargetListPoller {
	return &TargetListPoller{reader: reader, logger: logger, changed: make(chan struct{})}
}

// Run reads the list at every interval while needed returns true, until ctx is done.
func (p *TargetListPoller) Run(ctx context.Context, needed func() bool) {
	for ctx.Err() == nil {
		wait := needCheckInterval
		if needed() {
			p.read(ctx)
			wait = ListReadInterval
		}
		pause.For(ctx, wait)
	}
}

// Accept takes over a list that another VM has read, unless this VM has a later one. A list must
// not be modified after it was accepted.
func (p *TargetListPoller) Accept(list *chicoryv1.TargetList, reading Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reading.Began.After(p.reading.Began) {
		return
	}
	p.reading = reading
	if list != p.accepted {
		p.accepted = list
		p.replace(list)
	}
}

// MustRead reports whether a control VM reads the list itself: it leads, or the VM that it
// follows has no recent reading. One reader is enough, and the platform limits the rate of
// all reads together.
func (p *TargetListPoller) MustRead(leads bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return leads || time.Since(p.reading.Began) > takeOverAge+time.Duration(len(p.list.GetTargets()))*readTimePerTarget
}

func (p *TargetListPoller) read(ctx context.Context) {
	start := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	targets, err := p.reader.ReadTargets(readCtx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if !p.failing && ctx.Err() == nil {
			p.logger.Warn(logging.TargetListLost, logging.Fields{"reason": err, "age_ms": start.Sub(p.reading.Began).Milliseconds()})
		}
		p.failing = true
		return
	}
	if p.failing {
		p.logger.Info(logging.TargetListFound, logging.Fields{"targets": len(targets)})
	}
	p.failing = false
	p.reading, p.accepted = Reading{Began: start, Ended: time.Now()}, nil
	p.replace(&chicoryv1.TargetList{Targets: targets})
}

// replace replaces the list if next differs from it. The caller holds mu.
func (p *TargetListPoller) replace(next *chicoryv1.TargetList) {
	if p.list != nil && proto.Equal(p.list, next) {
		return
	}
	p.logger.Info(logging.TargetListChanged, logging.Fields{"targets": len(next.GetTargets())})
	p.list = next
	close(p.changed)
	p.changed = make(chan struct{})
}

// Targets returns the latest list (nil before the first read), when it was read from the
// platform, and a channel that is closed when the list changes.
func (p *TargetListPoller) Targets() (list *chicoryv1.TargetList, reading Reading, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.reading, p.changed
}
