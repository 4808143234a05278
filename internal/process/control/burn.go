package control

import (
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// burnStore keeps evidence for the report on service-level burn.
type burnStore interface {
	Add(now time.Time, list []*chicoryv1.VersionEvidence)
	Rows(c *chicoryv1.Configuration, route string, now time.Time) []*chicoryv1.BurnRow
}

type noBurn struct{}

func (noBurn) Add(time.Time, []*chicoryv1.VersionEvidence) {}

func (noBurn) Rows(*chicoryv1.Configuration, string, time.Time) []*chicoryv1.BurnRow { return nil }
