package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/chicoryswitch/chicoryswitch/internal/version/move"
)

// row sums up outcomes of one kind or level of traffic.
type row struct {
	goodMoves, goodDone, goodBlamed, goodLate int
	badMoves, badBack, badDone                int
	requests, after                           float64
	took                                      []float64
}

func (r *row) add(o outcome) {
	switch {
	case o.kind.isGood():
		r.goodMoves++
		if o.done {
			r.goodDone++
		} else if blamed(o) {
			r.goodBlamed++
		} else {
			r.goodLate++
		}
		return
	case !o.onset:
		// It was taken back before it turned bad: neither a hit nor a miss.
		return
	}
	r.badMoves++
	if o.done {
		r.badDone++
	} else {
		r.badBack++
		r.took = append(r.took, o.took.Seconds())
	}
	r.requests += o.badRequests
	r.after += o.afterShown
}

// blamed reports whether the move was taken back for badness, not for its deadline.
func blamed(o outcome) bool {
	const prefix = "bad version"
	return !o.done && len(o.reason) >= len(prefix) && o.reason[:len(prefix)] == prefix
}

func percentOf(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sort.Float64s(list)
	return list[int(q*float64(len(list)-1))]
}

const header = "policy\t%s\tversions\tmoved\tblamed\tnot proved\ttaken back\tpromoted\tbad requests\tafter shown\tback p50\tp99\t\n"

func (r *row) print(w io.Writer, policyName, name string) {
	n := max(r.badMoves, 1)
	fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f s\t%.0f s\t\n", policyName, name, r.goodMoves+r.badMoves,
		percentOf(r.goodDone, r.goodMoves), percentOf(r.goodBlamed, r.goodMoves), percentOf(r.goodLate, r.goodMoves),
		percentOf(r.badBack, r.badMoves), percentOf(r.badDone, r.badMoves),
		r.requests/float64(n), r.after/float64(n), quantile(r.took, 0.5), quantile(r.took, 0.99))
}

// printTables prints a policy's outcomes by kind and by traffic.
func printTables(out io.Writer, policyName string, outcomes []outcome) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, header, "kind")
	for k := range kindCount {
		sum(outcomes, func(o outcome) bool { return o.kind == k }).print(w, policyName, kindNames[k])
	}
	fmt.Fprintf(w, header, "requests/s")
	for _, t := range traffics {
		here := func(o outcome) bool { return o.rate == t.rate && !o.kind.nonIdempotent() }
		sum(outcomes, here).print(w, policyName, fmt.Sprintf("%.0f", t.rate))
		capped := func(o outcome) bool { return o.rate == t.rate && o.kind.nonIdempotent() }
		sum(outcomes, capped).print(w, policyName, fmt.Sprintf("%.0f, non-idempotent", t.rate))
	}
	w.Flush()
}

func sum(outcomes []outcome, in func(outcome) bool) *row {
	r := &row{}
	for _, o := range outcomes {
		if in(o) {
			r.add(o)
		}
	}
	return r
}

// printBars prints the bars of the policy that production uses.
func printBars(out io.Writer, outcomes []outcome) {
	all := sum(outcomes, func(outcome) bool { return true })
	enough := sum(outcomes, func(o outcome) bool { return !planWarns(o.rate, o.kind.nonIdempotent()) })
	bar(out, "good-moved-by-deadline", share(enough.goodDone, enough.goodMoves), 99, true, "where the plan does not warn")
	for _, capped := range []bool{false, true} {
		for _, t := range traffics {
			r := sum(outcomes, func(o outcome) bool { return o.rate == t.rate && o.kind.nonIdempotent() == capped })
			name, note := fmt.Sprintf("good-moved-by-deadline-%.0f-per-s", t.rate), ""
			if capped {
				name += "-non-idempotent"
			}
			if planWarns(t.rate, capped) {
				note = "the plan warns of too little traffic"
			}
			bar(out, name, share(r.goodDone, r.goodMoves), 99, true, note)
		}
	}
	bar(out, "good-wrongly-taken-back", share(all.goodBlamed, all.goodMoves), 1, false, "")
	bar(out, "bad-taken-back", share(all.badBack, all.badMoves), 99.5, true, "")
	for k := range kindCount {
		if !k.isGood() {
			r := sum(outcomes, func(o outcome) bool { return o.kind == k })
			name := "bad-taken-back-" + strings.ReplaceAll(strings.ReplaceAll(kindNames[k], ",", ""), " ", "-")
			bar(out, name, share(r.badBack, r.badMoves), 99.5, true, "")
		}
	}
	bar(out, "share-before-shown", 100*beforeShown(outcomes, false), 5, false, "")
	bar(out, "share-before-shown-non-idempotent", 100*beforeShown(outcomes, true), 1, false, "")
}

// share returns a part in percent.
func share(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// planWarns reports whether the plan of such a move tells the operator that the
// traffic is too little.
func planWarns(rate float64, nonIdempotent bool) bool {
	for _, t := range traffics {
		if t.rate != rate {
			continue
		}
		_, warnings, err := move.Plan(intent(t), routeOf(nonIdempotent), epoch, 0)
		return err != nil || strings.Contains(strings.Join(warnings, ""), "too little traffic")
	}
	return false
}

// beforeShown returns the mean share of the route's requests that versions bad
// at once got before their badness showed.
func beforeShown(outcomes []outcome, nonIdempotent bool) float64 {
	var total float64
	var n int
	for _, o := range outcomes {
		if o.kind.atOnce() && o.kind.nonIdempotent() == nonIdempotent {
			total += o.beforeShown
			n++
		}
	}
	return total / float64(max(n, 1))
}

func bar(out io.Writer, name string, measured, target float64, atLeast bool, note string) {
	met, sign := measured >= target, ">="
	if !atLeast {
		met, sign = measured <= target, "<="
	}
	word := "missed"
	if met {
		word = "met"
	}
	if note != "" {
		word += " (" + note + ")"
	}
	fmt.Fprintf(out, "bar %s measured=%.3f%% target=%s%g%% %s\n", name, measured, sign, target, word)
}
