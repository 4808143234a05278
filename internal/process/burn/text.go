package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// FormatTable returns the rows as a table: one line for each series, with its windows
// side by side. The rows must be sorted as by Tracker.Rows.
func FormatTable(rows []*chicoryv1.BurnRow) string {
	if len(rows) == 0 {
		return "no requests on routes with objectives\n"
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "ROUTE\tVERSION\tTEAM\tOBJECTIVE\tREQUESTS\tMISSED\tBUDGET LEFT")
	for _, spec := range windows {
		fmt.Fprintf(w, "\tBURN %s", formatWindow(uint32(spec.length.Seconds())))
	}
	fmt.Fprintln(w)
	for _, series := range groupBySeries(rows) {
		last := series[len(series)-1]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.1f%%", last.GetRoute(), orAll(last.GetVersion()), orAll(last.GetTeam()),
			last.GetObjective(), last.GetRequests(), last.GetBad(), 100*last.GetBudgetLeft())
		for _, r := range series {
			fmt.Fprintf(w, "\t%.2f", r.GetBurnRate())
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	return b.String()
}

// groupBySeries groups consecutive rows that differ in their window only.
func groupBySeries(rows []*chicoryv1.BurnRow) [][]*chicoryv1.BurnRow {
	var groups [][]*chicoryv1.BurnRow
	for i, r := range rows {
		if i > 0 && sameSeries(rows[i-1], r) {
			groups[len(groups)-1] = append(groups[len(groups)-1], r)
			continue
		}
		groups = append(groups, []*chicoryv1.BurnRow{r})
	}
	return groups
}

func sameSeries(a, b *chicoryv1.BurnRow) bool {
	return a.GetRoute() == b.GetRoute() && a.GetVersion() == b.GetVersion() &&
		a.GetTeam() == b.GetTeam() && a.GetObjective() == b.GetObjective()
}

func orAll(name string) string {
	if name == "" {
		return "(all)"
	}
	return name
}

// formatWindow formats the length of a window in the largest unit of days, hours and
// minutes that divides it.
func formatWindow(seconds uint32) string {
	d := time.Duration(seconds) * time.Second
	const day = 24 * time.Hour
	switch {
	case d >= day && d%day == 0:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour && d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}
