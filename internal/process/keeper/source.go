package keeper

import (
	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// source is what the feeds of this VM tell.
type source struct{ p *Process }

func (s source) Declaration() (*chicoryv1.Declaration, <-chan struct{}) {
	return s.p.replica.declaration()
}

func (s source) Targets() (list *chicoryv1.TargetList, fresh bool, changed <-chan struct{}) {
	return s.p.list.Targets()
}

func (s source) Members() (addresses []string, leader string, leads bool) {
	return s.p.replica.members()
}
