package keeper

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/observe"
)

// feedSource provides the content of the feeds that this VM serves.
type feedSource struct{ p *Process }

func (s feedSource) Declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	return s.p.replica.declaration()
}

func (s feedSource) Targets() (list *chicoryv1.TargetList, reading observe.Reading, changed <-chan struct{}) {
	return s.p.targetList.Targets()
}

func (s feedSource) Members() (addresses []string, leader string, leads bool) {
	return s.p.replica.members()
}
