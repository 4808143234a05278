package move

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// Evidence is the input of a step, collected since the previous step.
type Evidence struct {
	// Elapsed is the time that the strata cover.
	Elapsed time.Duration
	Strata  []evidence.Stratum
	// Related is the evidence of idempotent routes of the same service that split
	// their requests between the same versions. On a route with non-idempotent calls,
	// it can contribute up to half of a proof.
	Related []evidence.Stratum
	// Routers is the number of live routers, and StoppedBy the number of those that
	// stopped the new version on their own.
	Routers, StoppedBy int
	// Incomplete means that the leader is new and does not have all reports of the
	// routers yet. A bad version still ends the move, but growth, success and the
	// deadline wait.
	Incomplete bool
}

// Decider advances moves with a policy.
type Decider struct {
	Policy policy.Policy
}

// Step advances a move with SPRT, the policy that was chosen by benchmark.
func Step(m *chicoryv1.Move, ev Evidence, now time.Time) (*chicoryv1.Move, bool) {
	return Decider{Policy: policy.SPRT{}}.Step(m, ev, now)
}

// Step returns the move after the evidence, at the time now. changed is true if an event
// was added, that is, if the state or the share changed or the move ended. Even if not,
// next has newer counts and a newer policy state than m. Step does not modify m, and
// returns a move that has ended as it is.
func (d Decider) Step(m *chicoryv1.Move, ev Evidence, now time.Time) (next *chicoryv1.Move, changed bool) {
	if Ended(m) {
		return m, false
	}
	next = proto.Clone(m).(*chicoryv1.Move)
	s := scheduleOf(next.GetIntent())
	if next.GetState() == planned {
		if now.Before(s.start) {
			return next, false
		}
		if now.Before(s.deadline) {
			transition(next, proving, next.GetIntent().GetCapPermille(), now, "start reached: capped share until proved")
			return next, true
		}
	}
	v := d.updatePolicy(next, s, ev, now)
	applyVerdict(next, s, v, ev, now)
	return next, len(next.GetEvents()) != len(m.GetEvents())
}

// updatePolicy adds the evidence to the counts of the move and returns the policy's
// verdict.
func (d Decider) updatePolicy(m *chicoryv1.Move, s schedule, ev Evidence, now time.Time) policy.Verdict {
	if m.OldEvidence == nil {
		m.OldEvidence = &chicoryv1.VersionEvidence{}
	}
	if m.NewEvidence == nil {
		m.NewEvidence = &chicoryv1.VersionEvidence{}
	}
	changed := m.GetStageRequests() == 0
	for _, st := range ev.Strata {
		evidence.Merge(m.OldEvidence, st.Old)
		evidence.Merge(m.NewEvidence, st.New)
		m.StageRequests += st.New.GetRequests()
	}
	state, v := d.Policy.Update(m.GetPolicyState(), policy.Input{
		Now: now, Elapsed: ev.Elapsed, MoveAge: now.Sub(s.start),
		ProvingTime:  s.plannedProof().Sub(s.start),
		ShareChanged: changed, Limits: limitsOf(m.GetIntent()), Strata: ev.Strata, Related: ev.Related, OldTotal: m.GetOldEvidence(),
	})
	m.PolicyState = state
	return v
}

// applyVerdict makes at most one transition of the move.
func applyVerdict(m *chicoryv1.Move, s schedule, v policy.Verdict, ev Evidence, now time.Time) {
	switch {
	case v.Bad:
		finish(m, takenBack, now, "bad version: "+v.Reason+"; "+evidenceSummary(m))
	case stoppedByRouters(ev):
		finish(m, takenBack, now, fmt.Sprintf("bad version: stopped by %d of %d routers; %s", ev.StoppedBy, ev.Routers, evidenceSummary(m)))
	case ev.Incomplete:
	case !now.Before(s.deadline):
		decideAtDeadline(m, s, v, now)
	case v.Inconclusive && m.GetSharePermille() > comparisonPermille:
		transition(m, growing, comparisonPermille, now, "share lowered to compare with the old version: "+v.Reason)
	case m.GetPaused():
	case m.GetState() == proving:
		decideProving(m, s, v, now)
	case m.GetState() == growing:
		decideGrowing(m, s, v, now)
	case m.GetState() == watching:
		decideWatching(m, s, v, now)
	}
}

// stoppedByRouters reports whether at least half of the routers stopped the new version.
func stoppedByRouters(ev Evidence) bool {
	return ev.StoppedBy > 0 && 2*ev.StoppedBy >= ev.Routers
}

// decideAtDeadline ends the move. It is done if the watch was long enough, had enough
// requests and shows no sign of a bad version. Otherwise it is rolled back.
func decideAtDeadline(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	watched := s.deadline.Sub(time.UnixMilli(m.GetStageSinceUnixMs()))
	switch {
	case m.GetState() == planned:
		finish(m, takenBack, now, "deadline: the move was never started")
	case m.GetState() == proving:
		finish(m, takenBack, now, "deadline: not proved; "+evidenceSummary(m))
	case m.GetState() == growing:
		finish(m, takenBack, now, "deadline: full share was not reached; "+evidenceSummary(m))
	case v.Hold:
		finish(m, takenBack, now, "deadline: signs of badness in the watch: "+v.Reason+"; "+evidenceSummary(m))
	case watched < s.minWatch:
		finish(m, takenBack, now, fmt.Sprintf("deadline: watched for %s of at least %s; %s", watched, s.minWatch, evidenceSummary(m)))
	case m.GetStageRequests() < minWatchRequests:
		finish(m, takenBack, now, fmt.Sprintf("deadline: %d requests in the watch of at least %d; %s",
			m.GetStageRequests(), minWatchRequests, evidenceSummary(m)))
	default:
		finish(m, done, now, "proved and watched until the deadline; "+evidenceSummary(m))
	}
}

// decideProving starts the growth once the version is proved. It rolls the move back if
// the remaining time is too short.
func decideProving(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	if !v.Proved || v.Hold {
		return
	}
	if now.After(s.latestProof()) {
		finish(m, takenBack, now, "deadline: proved too late to grow and watch; "+evidenceSummary(m))
		return
	}
	share, _ := nextShare(m.GetSharePermille())
	transition(m, growing, share, now, v.Reason)
}

// decideGrowing sets the next share once the current one has lasted long enough.
func decideGrowing(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	share, left := nextShare(m.GetSharePermille())
	since := time.UnixMilli(m.GetStageSinceUnixMs())
	if v.Hold || now.Sub(since) < s.growStepTime(since, left, m.GetHastened()) {
		return
	}
	if share == FullPermille {
		transition(m, watching, share, now, "full share; the old version is kept able to take all")
		return
	}
	transition(m, growing, share, now, "no sign of badness at the share before")
}

// decideWatching ends the move as done once the watch was long enough and had enough
// requests.
func decideWatching(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	since := time.UnixMilli(m.GetStageSinceUnixMs())
	watched := now.Sub(since)
	if v.Hold || watched < s.watchTime(since, m.GetHastened()) || m.GetStageRequests() < minWatchRequests {
		return
	}
	finish(m, done, now, fmt.Sprintf("proved and watched for %s; %s", watched.Round(time.Second), evidenceSummary(m)))
}

// evidenceSummary formats the counts of both versions.
func evidenceSummary(m *chicoryv1.Move) string {
	return "new " + formatCounts(m.GetNewEvidence()) + ", old " + formatCounts(m.GetOldEvidence())
}

func formatCounts(e *chicoryv1.VersionEvidence) string {
	return fmt.Sprintf("%d requests %d errors %d crossed %d resumes",
		e.GetRequests(), e.GetErrors(), e.GetCrossed(), e.GetResumes())
}
