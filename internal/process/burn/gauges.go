package burn

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// gaugePrefix is the prefix of the names of all burn gauges.
const gaugePrefix = "burn."

// SetGauges sets the gauges burn.ROUTE.VERSION.OBJECTIVE.WINDOW and
// burn.ROUTE.VERSION.OBJECTIVE.budget_left from the rows that cover all teams, and
// removes the burn gauges without a row from the registry. Dots in names become
// underscores.
func SetGauges(registry metrics.Registry, rows []*chicoryv1.BurnRow) {
	set := make(map[string]bool)
	for _, r := range rows {
		if r.GetTeam() != "" {
			continue
		}
		base := gaugePrefix + strings.Join([]string{sanitizeName(r.GetRoute()), sanitizeName(orAll(r.GetVersion())), r.GetObjective()}, ".")
		window, left := base+"."+formatWindow(r.GetWindowSeconds()), base+".budget_left"
		metrics.GetOrRegisterGaugeFloat64(window, registry).Update(r.GetBurnRate())
		metrics.GetOrRegisterGaugeFloat64(left, registry).Update(r.GetBudgetLeft())
		set[window], set[left] = true, true
	}
	var stale []string
	registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, gaugePrefix) && !set[name] {
			stale = append(stale, name)
		}
	})
	for _, name := range stale {
		registry.Unregister(name)
	}
}

func sanitizeName(s string) string {
	return strings.Trim(strings.ReplaceAll(s, ".", "_"), "()")
}
