package move

import (
	"fmt"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Explain describes the state of a move, what it waits for or why it ended, and its
// events, one per line.
func Explain(m *chicoryv1.Move, now time.Time) []string {
	in := m.GetIntent()
	lines := []string{fmt.Sprintf("move %s: route %s from version %s to %s, %s, share %.1f%%",
		m.GetId(), in.GetRoute(), in.GetFrom(), in.GetTo(), stateNames[m.GetState()], float64(m.GetSharePermille())/10)}
	if Ended(m) {
		lines = append(lines, fmt.Sprintf("ended %s: %s", formatTime(time.UnixMilli(m.GetEndedUnixMs())), m.GetReason()))
	} else {
		lines = append(lines, describeNext(m, now), "evidence: "+evidenceSummary(m))
	}
	for _, e := range m.GetEvents() {
		lines = append(lines, fmt.Sprintf("%s %s %.1f%%: %s", formatTime(time.UnixMilli(e.GetUnixMs())),
			stateNames[e.GetState()], float64(e.GetSharePermille())/10, e.GetReason()))
	}
	return lines
}

var stateNames = map[chicoryv1.MoveState]string{
	planned: "planned", proving: "proving", growing: "growing", watching: "watching", done: "done", takenBack: "taken back",
}

// describeNext says when and how an open move will continue.
func describeNext(m *chicoryv1.Move, now time.Time) string {
	s := scheduleOf(m.GetIntent())
	since := time.UnixMilli(m.GetStageSinceUnixMs())
	left := func(until time.Time) time.Duration { return max(0, until.Sub(now)).Round(time.Second) }
	var next string
	switch m.GetState() {
	case planned:
		next = fmt.Sprintf("starts in %s", left(s.start))
	case proving:
		next = fmt.Sprintf("waits for a proof, at the latest in %s", left(s.latestProof()))
	case growing:
		share, steps := nextShare(m.GetSharePermille())
		next = fmt.Sprintf("goes to %.1f%% in %s unless there are signs of badness", float64(share)/10,
			left(since.Add(s.growStepTime(since, steps, m.GetHastened()))))
	case watching:
		next = fmt.Sprintf("is done in %s unless there are signs of badness", left(since.Add(s.watchTime(since, m.GetHastened()))))
	}
	if m.GetPaused() {
		next = "paused; would go on so: " + next
	}
	return fmt.Sprintf("%s; deadline in %s", next, left(s.deadline))
}
