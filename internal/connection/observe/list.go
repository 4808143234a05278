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

// TargetReader reads the platform's list of targets.
type TargetReader interface {
	ReadTargets(ctx context.Context) ([]*chicoryv1.ListedTarget, error)
}

const (
	// ListInterval is the time between two readings of the platform's list. A target
	// that leaves must get nothing new within some seconds of the list saying so.
	ListInterval = time.Second
	// listTimeout bounds one reading.
	listTimeout = 800 * time.Millisecond
	// ListLifetime is the age at which a list is no longer taken for the platform's.
	ListLifetime = 2500 * time.Millisecond
)

// TargetList is the newest list that a task of this process has read. It is safe for
// concurrent use.
type TargetList struct {
	reader TargetReader
	logger *logging.Logger

	mu      sync.Mutex // guards the fields below
	list    *chicoryv1.TargetList
	readAt  time.Time
	lost    bool
	changed chan struct{} // closed when list changes
}

// NewTargetList returns a list that was not read yet.
func NewTargetList(reader TargetReader, logger *logging.Logger) *TargetList {
	return &TargetList{reader: reader, logger: logger, changed: make(chan struct{})}
}

// Run reads the list until ctx ends, whenever wanted says so.
func (l *TargetList) Run(ctx context.Context, wanted func() bool) {
	for ctx.Err() == nil {
		if wanted() {
			l.read(ctx)
		}
		pause.For(ctx, ListInterval)
	}
}

func (l *TargetList) read(ctx context.Context) {
	begin := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	targets, err := l.reader.ReadTargets(readCtx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !l.lost && ctx.Err() == nil {
			l.logger.Warn(logging.TargetListLost, logging.Fields{"reason": err, "age_ms": begin.Sub(l.readAt).Milliseconds()})
		}
		l.lost = true
		return
	}
	if l.lost {
		l.logger.Info(logging.TargetListFound, logging.Fields{"targets": len(targets)})
	}
	l.lost = false
	l.readAt = begin
	next := &chicoryv1.TargetList{Targets: targets}
	if l.list != nil && proto.Equal(l.list, next) {
		return
	}
	l.logger.Info(logging.TargetListChanged, logging.Fields{"targets": len(targets)})
	l.list = next
	close(l.changed)
	l.changed = make(chan struct{})
}

// Targets returns the newest list, nil before the first one, whether it was read
// lately, and a channel that closes when it changes.
func (l *TargetList) Targets() (list *chicoryv1.TargetList, fresh bool, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.list != nil && time.Since(l.readAt) < ListLifetime, l.changed
}
