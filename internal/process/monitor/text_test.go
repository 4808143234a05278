package monitor

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

func TestWriteText(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("retry.hedge.allowed", r).Inc(3)
	metrics.GetOrRegisterGauge("declared.version", r).Update(7)
	h := metrics.GetOrRegisterHistogram("request.call.ms", r, metrics.NewUniformSample(100))
	for i := range int64(100) {
		h.Update(i)
	}
	var b strings.Builder
	assert.NilError(t, writeText(&b, r))
	for _, line := range []string{
		"# TYPE chicory_declared_version gauge\nchicory_declared_version 7\n",
		"chicory_request_call_ms{quantile=\"0.5\"} 49.5\n",
		"chicory_request_call_ms_sum 4950\nchicory_request_call_ms_count 100\n",
		"# TYPE chicory_retry_hedge_allowed counter\nchicory_retry_hedge_allowed 3\n",
	} {
		assert.Assert(t, strings.Contains(b.String(), line), "%q is missing in\n%s", line, b.String())
	}
}
