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
	// listReadTimeout limits the duration of one read.
	listReadTimeout = 800 * time.Millisecond
	// MaxListAge is the age at which a list is considered stale.
	ListLifetime = 2500 * time.Millisecond
)

// TargetListPoller reads the platform's list of targets periodically and holds the
// latest one. It is safe for concurrent use.
type TargetList struct {
	reader TargetReader
	logger *logging.Logger

	mu      sync.Mutex // guards the fields below
	list    *chicoryv1.TargetList
	readAt  time.Time
	failing bool          // the last read failed
	changed chan struct{} // closed and replaced when list changes
}

// NewTargetListPoller returns a poller that has no list yet. Polling starts with Run.
func NewTargetList(reader TargetReader, logger *logging.Logger) *TargetList {
	return &TargetList{reader: reader, logger: logger, changed: make(chan struct{})}
}

// Run reads the list at every interval at which needed returns true, until ctx is done.
func (l *TargetList) Run(ctx context.Context, needed func() bool) {
	for ctx.Err() == nil {
		if needed() {
			l.read(ctx)
		}
		pause.For(ctx, ListReadInterval)
	}
}

func (l *TargetList) read(ctx context.Context) {
	start := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	targets, err := l.reader.ReadTargets(readCtx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.failing && ctx.Err() == nil {
			l.logger.Warn(logging.TargetListLost, logging.Fields{"reason": err, "age_ms": start.Sub(l.readAt).Milliseconds()})
		}
		l.failing = true
		return
	}
	if l.failing {
		l.logger.Info(logging.TargetListFound, logging.Fields{"targets": len(targets)})
	}
	l.failing = false
	l.readAt = start
	next := &chicoryv1.TargetList{Targets: targets}
	if l.list != nil && proto.Equal(l.list, next) {
		return
	}
	l.logger.Info(logging.TargetListChanged, logging.Fields{"targets": len(targets)})
	l.list = next
	close(l.changed)
	l.changed = make(chan struct{})
}

// Targets returns the latest list (nil before the first read), whether it is recent
// enough to be current, and a channel that is closed when the list changes.
func (l *TargetList) Targets() (list *chicoryv1.TargetList, fresh bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.list != nil && time.Since(l.readAt) < ListLifetime, l.changed
}
