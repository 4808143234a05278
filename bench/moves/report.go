package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
)

// summary counts the outcomes of one kind or traffic level.
type summary struct {
	goodMoves, goodDone, goodTakenBackAsBad, goodNotProved int
	badMoves, badTakenBack, badDone                        int
	badRequests, requestsAfterDetectable                   float64
	takeBackSeconds                                        []float64 // from the onset of the defect
}

// add adds one outcome.
func (s *summary) add(o outcome) {
	switch {
	case o.kind.isGood():
		s.goodMoves++
		if o.done {
			s.goodDone++
		} else if takenBackAsBad(o) {
			s.goodTakenBackAsBad++
		} else {
			s.goodNotProved++
		}
		return
	case !o.turnedBad:
		// The move ended before the defect appeared, so it neither caught the bad
		// version nor missed it.
		return
	}
	s.badMoves++
	if o.done {
		s.badDone++
	} else {
		s.badTakenBack++
		s.takeBackSeconds = append(s.takeBackSeconds, o.timeToEnd.Seconds())
	}
	s.badRequests += o.badRequests
	s.requestsAfterDetectable += o.requestsAfterDetectable
}

// takenBackAsBad reports whether the move was taken back because the version was judged
// bad, not because the deadline was reached.
func takenBackAsBad(o outcome) bool {
	const prefix = "bad version"
	return !o.done && len(o.reason) >= len(prefix) && o.reason[:len(prefix)] == prefix
}

// formatPercent returns part as a percentage of total, or "-" if total is 0.
func formatPercent(part, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(total))
}

// quantile sorts list and returns its quantile q, or 0 if it is empty.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	return list[int(q*float64(len(list)-1))]
}

// tableHeader is the header of the tables; its verb is the name of the second column.
const tableHeader = "policy\t%s\tversions\tmoved\tblamed\tnot proved\ttaken back\tpromoted\tbad requests\tafter shown\tback p50\tp99\t\n"

// print writes the summary as one row of a table.
func (s *summary) print(w io.Writer, policyName, name string) {
	badMoves := max(s.badMoves, 1)
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f s\t%.0f s\t\n", policyName, name, s.goodMoves+s.badMoves,
		formatPercent(s.goodDone, s.goodMoves), formatPercent(s.goodTakenBackAsBad, s.goodMoves), formatPercent(s.goodNotProved, s.goodMoves),
		formatPercent(s.badTakenBack, s.badMoves), formatPercent(s.badDone, s.badMoves),
		s.badRequests/float64(badMoves), s.requestsAfterDetectable/float64(badMoves), quantile(s.takeBackSeconds, 0.5), quantile(s.takeBackSeconds, 0.99))
}

// printTables prints a policy's outcomes by kind and by traffic level.
func printTables(out io.Writer, policyName string, outcomes []outcome) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, tableHeader, "kind")
	for k := range kindCount {
		summarize(outcomes, func(o outcome) bool { return o.kind == k }).print(w, policyName, kindNames[k])
	}
	fmt.Fprintf(w, tableHeader, "requests/s")
	for _, t := range trafficLevels {
		atRate := func(o outcome) bool { return o.rate == t.rate && !o.kind.nonIdempotent() }
		summarize(outcomes, atRate).print(w, policyName, fmt.Sprintf("%.0f", t.rate))
		atRateNonIdempotent := func(o outcome) bool { return o.rate == t.rate && o.kind.nonIdempotent() }
		summarize(outcomes, atRateNonIdempotent).print(w, policyName, fmt.Sprintf("%.0f, non-idempotent", t.rate))
	}
	w.Flush()
}

// summarize returns the summary of the outcomes that include selects.
func summarize(outcomes []outcome, include func(outcome) bool) *summary {
	s := &summary{}
	for _, o := range outcomes {
		if include(o) {
			s.add(o)
		}
	}
	return s
}

// printGoals prints the goals with the outcomes of the production policy.
func printGoals(out io.Writer, outcomes []outcome) {
	all := summarize(outcomes, func(outcome) bool { return true })
	enoughTraffic := summarize(outcomes, func(o outcome) bool { return !planWarnsOfTraffic(o.rate, o.kind.nonIdempotent()) })
	printGoal(out, "good-moved-by-deadline", percentage(enoughTraffic.goodDone, enoughTraffic.goodMoves), 99, true, "where the plan does not warn")
	for _, nonIdempotent := range []bool{false, true} {
		for _, t := range trafficLevels {
			s := summarize(outcomes, func(o outcome) bool { return o.rate == t.rate && o.kind.nonIdempotent() == nonIdempotent })
			name, note := fmt.Sprintf("good-moved-by-deadline-%.0f-per-s", t.rate), ""
			if nonIdempotent {
				name += "-non-idempotent"
			}
			if planWarnsOfTraffic(t.rate, nonIdempotent) {
				note = "the plan warns of too little traffic"
			}
			printGoal(out, name, percentage(s.goodDone, s.goodMoves), 99, true, note)
		}
	}
	printGoal(out, "good-wrongly-taken-back", percentage(all.goodTakenBackAsBad, all.goodMoves), 1, false, "")
	printGoal(out, "bad-taken-back", percentage(all.badTakenBack, all.badMoves), 99.5, true, "")
	for k := range kindCount {
		if !k.isGood() {
			s := summarize(outcomes, func(o outcome) bool { return o.kind == k })
			name := "bad-taken-back-" + strings.ReplaceAll(strings.ReplaceAll(kindNames[k], ",", ""), " ", "-")
			printGoal(out, name, percentage(s.badTakenBack, s.badMoves), 99.5, true, "")
		}
	}
	printGoal(out, "share-before-shown", 100*meanShareBeforeDetectable(outcomes, false), 5, false, "")
	printGoal(out, "share-before-shown-non-idempotent", 100*meanShareBeforeDetectable(outcomes, true), 1, false, "")
}

// percentage returns part as a percentage of total.
func percentage(part, total int) float64 { return 100 * float64(part) / float64(max(total, 1)) }

// planWarnsOfTraffic reports whether the plan of a move at this rate warns the operator
// of too little traffic.
func planWarnsOfTraffic(rate float64, nonIdempotent bool) bool {
	for _, t := range trafficLevels {
		if t.rate != rate {
			continue
		}
		_, warnings, err := move.Plan(intent(t), routeOf(nonIdempotent), epoch, 0)
		return err != nil || strings.Contains(strings.Join(warnings, ""), "too little traffic")
	}
	return false
}

// meanShareBeforeDetectable returns the mean share of the route's requests that
// versions with a defect from the start got before it became detectable.
func meanShareBeforeDetectable(outcomes []outcome, nonIdempotent bool) float64 {
	var total float64
	var n int
	for _, o := range outcomes {
		if o.kind.badFromStart() && o.kind.nonIdempotent() == nonIdempotent {
			total += o.shareBeforeDetectable
			n++
		}
	}
	return total / float64(max(n, 1))
}

// printGoal prints one measured figure with its limit and whether it meets the limit.
func printGoal(out io.Writer, name string, measured, limit float64, atLeast bool, note string) {
	met, relation := measured >= limit, ">="
	if !atLeast {
		met, relation = measured <= limit, "<="
	}
	verdict := "missed"
	if met {
		verdict = "met"
	}
	if note != "" {
		verdict += " (" + note + ")"
	}
	fmt.Fprintf(out, "bar %s measured=%.3f%% target=%s%g%% %s\n", name, measured, relation, limit, verdict)
}
