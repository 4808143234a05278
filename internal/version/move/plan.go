package move

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
	"github.com/chicoryswitch/chicoryswitch/internal/version/move/policy"
)

const (
	// minWindow and maxWindow limit the time between start and deadline.
	minWindow = 30 * time.Second
	maxWindow = 30 * 24 * time.Hour
	// startGrace is how far in the past the start may be, because operators need time
	// to confirm a plan.
	startGrace = time.Hour
	// proofMargin is the number of requests to plan for a proof, as a multiple of the
	// average. Most proofs need fewer.
	proofMargin = 3.5
)

// Plan returns what a move with the intent would do, without any change. The intent's
// expected rate takes precedence over observedRate, the current requests per second of
// the route. Each effect and warning is one line. Plan fails with the kind PlanRejected.
func Plan(in *chicoryv1.MoveIntent, route *chicoryv1.Route, now time.Time, observedRate float64) (effects, warnings []string, err error) {
	if err := Validate(in, route, now); err != nil {
		return nil, nil, err
	}
	full := WithExpectedRate(withDefaults(in, route), observedRate)
	s := scheduleOf(full)
	return planEffects(full, s), planWarnings(in, full, s, route), nil
}

// WithExpectedRate returns the intent with the observed rate as its expected rate, if the
// operator gave none. It does not modify the given intent.
func WithExpectedRate(in *chicoryv1.MoveIntent, observedRate float64) *chicoryv1.MoveIntent {
	if in.GetExpectedRate() > 0 || observedRate <= 0 {
		return in
	}
	out := proto.Clone(in).(*chicoryv1.MoveIntent)
	out.ExpectedRate = observedRate
	return out
}

// Validate fails with the kind PlanRejected if the intent is not valid for the route.
func Validate(in *chicoryv1.MoveIntent, route *chicoryv1.Route, now time.Time) error {
	start, deadline := time.UnixMilli(in.GetStartUnixMs()), time.UnixMilli(in.GetDeadlineUnixMs())
	window := deadline.Sub(start)
	switch {
	case in.GetRoute() == "" || in.GetRoute() != route.GetName():
		return reject("the move names route %q", in.GetRoute())
	case in.GetFrom() != route.GetVersion():
		return reject("route %s runs version %q, not %q", in.GetRoute(), route.GetVersion(), in.GetFrom())
	case in.GetTo() == "" || in.GetTo() == in.GetFrom():
		return reject("the new version must be named and differ from the old one")
	case in.GetStartUnixMs() <= 0 || start.Before(now.Add(-startGrace)):
		return reject("the start is not given or is past")
	case window < minWindow || window > maxWindow:
		return reject("the deadline must be %s to %s after the start, not %s", minWindow, maxWindow, window)
	case deadline.Sub(now) < minWindow:
		return reject("the deadline must be at least %s from now", minWindow)
	case in.GetCapPermille() > permille:
		return reject("the cap is above 1000 thousandths")
	case in.GetBadErrorPermille() >= permille:
		return reject("the error increase must be below 1000 thousandths")
	case in.GetBadLatencyPercent() != 0 && in.GetBadLatencyPercent() < minLatencyPercent:
		return reject("the latency factor must be at least %d hundredths", minLatencyPercent)
	case in.GetExpectedRate() < 0:
		return reject("the expected rate is negative")
	}
	return nil
}

// minLatencyPercent is the smallest latency factor that the histograms resolve well.
const minLatencyPercent = 120

func reject(format string, args ...any) error {
	return fault.New(fault.PlanRejected, format, args...)
}

func planEffects(in *chicoryv1.MoveIntent, s schedule) []string {
	share := func(p uint32) string { return fmt.Sprintf("%.1f%%", float64(p)/10) }
	lines := []string{
		fmt.Sprintf("%s: route %s gives version %s %s of new requests until it is proved", formatTime(s.start), in.GetRoute(), in.GetTo(), share(in.GetCapPermille())),
	}
	proof := s.plannedProof()
	for i, p := range growthPermille {
		at := proof.Add(time.Duration(i) * s.growStep)
		lines = append(lines, fmt.Sprintf("%s at the latest as planned: %s; sooner if proved sooner", formatTime(at), share(p)))
	}
	return append(lines,
		fmt.Sprintf("%s at the latest as planned: %s, watched for %s; version %s keeps the rest and stays able to take all",
			formatTime(s.deadline.Add(-s.watch)), share(FullPermille), s.watch, in.GetFrom()),
		fmt.Sprintf("%s: done by then, or taken back", formatTime(s.deadline)),
		fmt.Sprintf("%s: last time at which a proof leaves room for the shortest growth (%s a share) and watch (%s)",
			formatTime(s.latestProof()), s.minGrowStep, s.minWatch),
		fmt.Sprintf("bad means: errors above the old version's by %.1f%% of requests, latency %.2f times the old version's, or crossed answers",
			float64(in.GetBadErrorPermille())/10, float64(in.GetBadLatencyPercent())/percent),
	)
}

// formatTime formats t for operators.
func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }

func planWarnings(requested, in *chicoryv1.MoveIntent, s schedule, route *chicoryv1.Route) []string {
	var lines []string
	if requested.GetCapPermille() > in.GetCapPermille() {
		lines = append(lines, fmt.Sprintf("the cap is lowered from %d to %d thousandths, the most for an unproved version on this route",
			requested.GetCapPermille(), in.GetCapPermille()))
	}
	rate := in.GetExpectedRate()
	needed := policy.RequestsToProve(limitsOf(in)) * proofMargin
	expected := rate * float64(in.GetCapPermille()) / permille * s.latestProof().Sub(s.start).Seconds()
	switch {
	case rate <= 0:
		lines = append(lines, fmt.Sprintf("the route's rate is not known; about %.0f requests of the new version are needed for a proof, and without them the move is taken back at the deadline", needed))
	case expected < needed:
		lines = append(lines, fmt.Sprintf("too little traffic: at %.2f requests a second version %s gets about %.0f of the %.0f requests that a proof needs, so the move will probably be taken back at the deadline; %s",
			rate, in.GetTo(), expected, needed, deadlineAdvice(in, s, needed)))
	}
	if watched := rate * s.minWatch.Seconds() * FullPermille / permille; rate > 0 && watched < minWatchRequests {
		lines = append(lines, fmt.Sprintf("the shortest watch would see %.0f requests of at least %d", watched, minWatchRequests))
	}
	if route.GetNonIdempotent() {
		lines = append(lines, "calls of this route may not be repeated: a call that fails on the new version stays failed or in doubt")
	}
	return lines
}

// deadlineAdvice says which time to the deadline would give enough requests.
func deadlineAdvice(in *chicoryv1.MoveIntent, s schedule, needed float64) string {
	seconds := needed / (in.GetExpectedRate() * float64(in.GetCapPermille()) / permille)
	window := s.deadline.Sub(s.start)
	provingFraction := float64(s.latestProof().Sub(s.start)) / float64(window)
	hours := seconds / provingFraction / time.Hour.Seconds()
	return fmt.Sprintf("%.1f hours between start and deadline would be enough, or a larger error increase", hours)
}
