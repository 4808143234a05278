package monitor

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// summaryQuantiles are the quantiles that are written for each histogram.
var summaryQuantiles = []float64{0.5, 0.9, 0.99}

// writeText writes all metrics, sorted by name, in the Prometheus text format.
func writeText(w io.Writer, registry metrics.Registry) error {
	var names []string
	all := map[string]any{}
	registry.Each(func(name string, metric any) {
		names = append(names, name)
		all[name] = metric
	})
	slices.Sort(names)
	for _, name := range names {
		if _, err := io.WriteString(w, formatMetric(metricName(name), all[name])); err != nil {
			return err
		}
	}
	return nil
}

func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		return fmt.Sprintf("# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Histogram:
		return formatHistogram(name, m.Snapshot())
	}
	return "" // no other metric types are in use
}

func formatHistogram(name string, h metrics.Histogram) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "# TYPE %s summary\n", name) // a strings.Builder returns no error
	for i, v := range h.Percentiles(summaryQuantiles) {
		_, _ = fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, summaryQuantiles[i], v)
	}
	_, _ = fmt.Fprintf(&b, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
	return b.String()
}

// metricName returns a name that the format allows: it adds the prefix chicory_ and
// replaces everything but ASCII letters and digits, such as dots, by underscores.
func metricName(name string) string {
	return "chicory_" + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}
