package move

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/version/evidence"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

// Evidence is what was seen since the step before.
type Evidence struct {
	// Elapsed is the time that the strata cover.
	Elapsed time.Duration
	Strata  []evidence.Stratum
	// Related is the evidence of idempotent routes of the same service that split
	// their requests between the same versions. It may give half of a proof on a
	// route of non-idempotent calls.
	Related []evidence.Stratum
	// Routers is the number of live routers, and StoppedBy how many of them stopped
	// the new version by themselves.
	Routers, StoppedBy int
	// Unsettled: the leader is new and the routers' reports are not complete yet.
	// Badness ends the move all the same; growth, success and the deadline wait.
	Unsettled bool
}

// Decider steps moves by a policy.
type Decider struct {
	Policy policy.Policy
}

// Step decides with the policy that the measurements chose.
func Step(m *chicoryv1.Move, ev Evidence, now time.Time) (*chicoryv1.Move, bool) {
	return Decider{Policy: policy.SPRT{}}.Step(m, ev, now)
}

// Step returns the move after the evidence and at the time given. changed is true
// when an event was added: its state, share or end differs. The counts and the
// policy's numbers of next are newer than m's in any case. m is not modified, and
// an ended move stays as it is.
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
			enter(next, proving, next.GetIntent().GetCapPermille(), now, "start reached: capped share until proved")
			return next, true
		}
	}
	v := d.weigh(next, s, ev, now)
	decide(next, s, v, ev, now)
	return next, len(next.GetEvents()) != len(m.GetEvents())
}

// weigh adds the evidence to the move's sums and asks the policy.
func (d Decider) weigh(m *chicoryv1.Move, s schedule, ev Evidence, now time.Time) policy.Verdict {
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

// decide changes the move at most once.
func decide(m *chicoryv1.Move, s schedule, v policy.Verdict, ev Evidence, now time.Time) {
	switch {
	case v.Bad:
		end(m, takenBack, now, "bad version: "+v.Reason+"; "+figures(m))
	case stoppedByRouters(ev):
		end(m, takenBack, now, fmt.Sprintf("bad version: stopped by %d of %d routers; %s", ev.StoppedBy, ev.Routers, figures(m)))
	case ev.Unsettled:
	case !now.Before(s.deadline):
		decideAtDeadline(m, s, v, now)
	case v.Doubt && m.GetSharePermille() > doubtPermille:
		enter(m, growing, doubtPermille, now, "share lowered to compare with the old version: "+v.Reason)
	case m.GetPaused():
	case m.GetState() == proving:
		decideProving(m, s, v, now)
	case m.GetState() == growing:
		decideGrowing(m, s, v, now)
	case m.GetState() == watching:
		decideWatching(m, s, v, now)
	}
}

// stoppedByRouters reports whether at least half of the routers stopped the version.
func stoppedByRouters(ev Evidence) bool {
	return ev.StoppedBy > 0 && 2*ev.StoppedBy >= ev.Routers
}

// decideAtDeadline always ends the move.
func decideAtDeadline(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	watched := s.deadline.Sub(time.UnixMilli(m.GetStageSinceUnixMs()))
	switch {
	case m.GetState() == planned:
		end(m, takenBack, now, "deadline: the move was never started")
	case m.GetState() == proving:
		end(m, takenBack, now, "deadline: not proved; "+figures(m))
	case m.GetState() == growing:
		end(m, takenBack, now, "deadline: full share was not reached; "+figures(m))
	case v.Hold:
		end(m, takenBack, now, "deadline: signs of badness in the watch: "+v.Reason+"; "+figures(m))
	case watched < s.minWatch:
		end(m, takenBack, now, fmt.Sprintf("deadline: watched for %s of at least %s; %s", watched, s.minWatch, figures(m)))
	case m.GetStageRequests() < minWatchRequests:
		end(m, takenBack, now, fmt.Sprintf("deadline: %d requests in the watch of at least %d; %s",
			m.GetStageRequests(), minWatchRequests, figures(m)))
	default:
		end(m, done, now, "proved and watched until the deadline; "+figures(m))
	}
}

func decideProving(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	if !v.Proved || v.Hold {
		return
	}
	if now.After(s.latestProof()) {
		end(m, takenBack, now, "deadline: proved too late to grow and watch; "+figures(m))
		return
	}
	share, _ := nextShare(m.GetSharePermille())
	enter(m, growing, share, now, v.Reason)
}

func decideGrowing(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	share, left := nextShare(m.GetSharePermille())
	since := time.UnixMilli(m.GetStageSinceUnixMs())
	if v.Hold || now.Sub(since) < s.stepTime(since, left, m.GetHastened()) {
		return
	}
	if share == FullPermille {
		enter(m, watching, share, now, "full share; the old version is kept able to take all")
		return
	}
	enter(m, growing, share, now, "no sign of badness at the share before")
}

func decideWatching(m *chicoryv1.Move, s schedule, v policy.Verdict, now time.Time) {
	since := time.UnixMilli(m.GetStageSinceUnixMs())
	watched := now.Sub(since)
	if v.Hold || watched < s.watchTime(since, m.GetHastened()) || m.GetStageRequests() < minWatchRequests {
		return
	}
	end(m, done, now, fmt.Sprintf("proved and watched for %s; %s", watched.Round(time.Second), figures(m)))
}

// figures tells the counts of both versions.
func figures(m *chicoryv1.Move) string {
	return "new " + counts(m.GetNewEvidence()) + ", old " + counts(m.GetOldEvidence())
}

func counts(e *chicoryv1.VersionEvidence) string {
	return fmt.Sprintf("%d requests %d errors %d crossed %d resumes",
		e.GetRequests(), e.GetErrors(), e.GetCrossed(), e.GetResumes())
}
