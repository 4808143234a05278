package exchange

import (
	"time"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/connection/paths"
)

const (
	// lateAnswerFactor is the time after which a target is reported as silent, as a multiple of
	// the time after which a call is hedged.
	lateAnswerFactor = 2
	minLateAnswer    = 150 * time.Millisecond
)

// suspectPath reports that a target is silent.
func (s *Service) suspectPath(target string, isCall bool) {
	if s.opts.Paths != nil {
		s.opts.Paths.Suspect(target, isCall)
	}
}

// watchSilence reports the target if it has not answered a call long after it usually does, which is
// later for a slow target. The returned function ends the watch.
func (s *Service) watchSilence(a *AdmittedRequest, target *chicoryv1.Target) (stop func() bool) {
	delay := max(lateAnswerFactor*s.latencies.HedgeDelay(a.Route.Name), minLateAnswer)
	delay = slowerBy(s.opts.Speeds.Factor(target.GetAddress(), target.GetInstance(), time.Now()), delay)
	return time.AfterFunc(delay, func() { s.suspectPath(target.GetAddress(), true) }).Stop
}

// isIsolated reports whether an attempt failed because this VM reaches no target at all, so that
// further attempts would fail as well.
func isIsolated(err error) bool {
	var dialErr *paths.DialError
	return errors.As(err, &dialErr) && dialErr.Isolated
}
