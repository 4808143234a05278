package entry

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chicoryswitch/chicoryswitch/internal/request/speed"
)

// registerSpeedGauges registers the gauges of how fast targets are.
func registerSpeedGauges(speeds *speed.Table, registry metrics.Registry) {
	gauge := func(name string, value func(speed.Spread) float64) {
		metrics.NewRegisteredFunctionalGauge(name, registry, func() int64 { return int64(math.Round(value(speeds.Spread(time.Now())))) })
	}
	gauge("targets.speed.known", func(s speed.Spread) float64 { return float64(s.Known) })
	gauge("targets.speed.fast_percent", func(s speed.Spread) float64 { return 100 * s.Fast })
	gauge("targets.speed.slow_percent", func(s speed.Spread) float64 { return 100 * s.Slow })
}
