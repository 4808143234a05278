package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const twoVMsLog = `time="2026-01-01T00:00:09Z" level=info event=target_list_lost id=e1 reason="too many"
time="2026-01-01T00:00:02Z" level=info event=feed_lost id=e1 reason=old
time="2026-01-01T00:00:10Z" level=info event=stream_placed id=e1 request=r1 target="10.0.0.1:80"
not a log line
time="2026-01-01T00:00:10.2Z" level=info event=stream_placed id=e1 request=r2 target="10.0.0.1:80"
time="2026-01-01T00:00:11Z" level=warning event=request_broken id=e1 reason="5 engines were lost" request=r1
time="2026-01-01T00:00:10.5Z" level=warning event=leader_changed id=k1 leader=k1
`

func TestExplainRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(twoVMsLog), 0o600))
	var stdout, stderr bytes.Buffer
	assert.Equal(t, Run([]string{"explain", "-request", "r1", file}, &stdout, &stderr), ExitOK, stderr.String())
	assert.Equal(t, stdout.String(), `request r1, from 2026-01-01T00:00:10Z; lines marked with ~ are events of its VM that name no request
~   -1.000s e1 target_list_lost reason="too many"
    +0.000s e1 stream_placed target=10.0.0.1:80
    +1.000s e1 request_broken reason="5 engines were lost"
`)
	stdout.Reset()
	assert.Equal(t, Run([]string{"explain", "-o", "json", "-request", "r1", file}, &stdout, &stderr), ExitOK)
	var trace []traceLine
	assert.NilError(t, json.Unmarshal(stdout.Bytes(), &trace))
	assert.Equal(t, len(trace), 3)
	assert.Equal(t, trace[2].Fields["reason"], "5 engines were lost")

	assert.Equal(t, Run([]string{"explain", "-request", "r9", file}, &stdout, &stderr), ExitUsage)
	assert.Assert(t, strings.Contains(stderr.String(), `none of the 6 log lines names request "r9"`), stderr.String())
	assert.Equal(t, Run([]string{"explain", "-request", "r1", file + "x"}, &stdout, &stderr), ExitUsage)
}

const cutOffLog = `time="2026-01-01T00:00:01Z" level=warning event=target_path_lost id=e1 target="10.0.0.8:80" reason=refused
time="2026-01-01T00:00:01.1Z" level=warning event=targets_cut_off id=e1 targets=2
time="2026-01-01T00:00:02Z" level=info event=targets_reached id=e1 target="10.0.0.8:80"
time="2026-01-01T00:00:03Z" level=warning event=target_path_lost id=e1 target="10.0.0.8:80" reason=refused
time="2026-01-01T00:00:03.1Z" level=warning event=target_path_lost id=e1 target="10.0.0.9:80" reason=refused
time="2026-01-01T00:00:03.1Z" level=warning event=targets_cut_off id=e2 targets=2
time="2026-01-01T00:00:03.2Z" level=warning event=targets_cut_off id=e1 targets=2
time="2026-01-01T00:00:20Z" level=warning event=attempt_ended id=e1 request=r1 target="10.0.0.9:80" ending=lost
time="2026-01-01T00:00:21Z" level=info event=targets_reached id=e1 target="10.0.0.8:80"
time="2026-01-01T00:00:30Z" level=warning event=request_refused id=e1 request=r2 kind=no_target
time="2026-01-01T00:00:40Z" level=warning event=target_path_lost id=e1 target="10.0.0.9:80" reason=refused
time="2026-01-01T00:00:41Z" level=info event=target_path_found id=e1 target="10.0.0.9:80"
time="2026-01-01T00:00:50Z" level=warning event=attempt_ended id=e1 request=r3 target="10.0.0.9:80" ending=lost
`

// TestExplainSaysThatTheVMWasCutOff guards against traces that leave out a cut because it began
// long before the request, or that show one that was over.
func TestExplainSaysThatTheVMWasCutOff(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(cutOffLog), 0o600))
	for request, want := range map[string]string{
		"r1": `~  -16.900s e1 target_path_lost target=10.0.0.9:80 reason=refused
~  -16.800s e1 targets_cut_off targets=2
    +0.000s e1 attempt_ended target=10.0.0.9:80 ending=lost
`,
		"r2": `    +0.000s e1 request_refused kind=no_target
`,
		"r3": `    +0.000s e1 attempt_ended target=10.0.0.9:80 ending=lost
`,
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, Run([]string{"explain", "-request", request, file}, &stdout, &stderr), ExitOK, stderr.String())
		_, trace, _ := strings.Cut(stdout.String(), "\n")
		assert.Equal(t, trace, want, request)
	}
}
