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
	MaxListAge = 2500 * time.Millisecond
)

// TargetListPoller reads the platform's list of targets periodically and holds the
// latest one. It is safe for concurrent use.
type TargetListPoller struct {
	reader TargetReader
	logger *logging.Logger

	mu      sync.Mutex // guards the fields below
	list    *chicoryv1.TargetList
	readAt  time.Time
	failing bool          // the last read failed
	changed chan struct{} // closed and replaced when list changes
}

// NewTargetListPoller returns a poller that has no list yet. Polling starts with Run.
func NewTargetListPoller(reader TargetReader, logger *logging.Logger) *TargetListPoller {
	return &TargetListPoller{reader: reader, logger: logger, changed: make(chan struct{})}
}

// Run reads the list at every interval at which needed returns true, until ctx is done.
func (p *TargetListPoller) Run(ctx context.Context, needed func() bool) {
	for ctx.Err() == nil {
		if needed() {
			p.read(ctx)
		}
		pause.For(ctx, ListReadInterval)
	}
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
			p.logger.Warn(logging.TargetListLost, logging.Fields{"reason": err, "age_ms": start.Sub(p.readAt).Milliseconds()})
		}
		p.failing = true
		return
	}
	if p.failing {
		p.logger.Info(logging.TargetListFound, logging.Fields{"targets": len(targets)})
	}
	p.failing = false
	p.readAt = start
	next := &chicoryv1.TargetList{Targets: targets}
	if p.list != nil && proto.Equal(p.list, next) {
		return
	}
	p.logger.Info(logging.TargetListChanged, logging.Fields{"targets": len(targets)})
	p.list = next
	close(p.changed)
	p.changed = make(chan struct{})
}

// Targets returns the latest list (nil before the first read), whether it is recent
// enough to be current, and a channel that is closed when the list changes.
func (p *TargetListPoller) Targets() (list *chicoryv1.TargetList, fresh bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.list != nil && time.Since(p.readAt) < MaxListAge, p.changed
}
