package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/ctl"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared/check"
	"github.com/chicoryswitch/chicoryswitch/platform"
)

func runCheck(args ...string) (status int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	status = ctl.Run(append([]string{"config", "check"}, args...), &out, &errOut, ctl.WithDocuments(platform.Documents{}))
	return status, out.String(), errOut.String()
}

func writeDocument(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "next.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func document(version, timeoutMs int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"look","host":"h","path_prefix":"/","type":"safe","timeout_ms":%d,"target_latency_ms":100,"service":%q}],
"services":[{"name":"desk"}]}`, version, timeoutMs, service)
}

// controlVM serves a document, or a refusal if it is empty, and fails on all but reads.
func controlVM(t *testing.T, text string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/config" {
			t.Errorf("the check sent %s %s", r.Method, r.URL.Path)
		}
		if text == "" {
			http.Error(w, "not_ready: there is no configuration yet", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestExitStatuses guards scripts that decide by the status whether to send a configuration.
func TestExitStatuses(t *testing.T) {
	clean, warned, rejected := document(2, 100, "desk"), document(2, 99, "desk"), document(2, 100, "gone")
	before := document(1, 100, "desk")
	closed := "127.0.0.1:1"
	for name, c := range map[string]struct {
		file, against string
		status        int
		want          string
	}{
		"clean":                         {clean, "", 0, "0 errors, 0 warnings, 0 differences"},
		"warnings":                      {warned, "", 1, `next.json:2: warning: route "look" has a timeout of 99ms, below its latency objective of 100ms (deadline_below_objective, routes[0].timeout_ms)`},
		"errors":                        {rejected, "", 2, `next.json:2: error: route "look" names the unknown service "gone" (unknown_service, routes[0].service)`},
		"differences are no warnings":   {document(2, 200, "desk"), controlVM(t, before), 0, `next.json:2: difference: the timeout of route "look" is loosened from 100ms to 200ms (limit_loosened, routes[0].timeout_ms)`},
		"file in force":                 {clean, writeDocument(t, before), 0, "0 differences"},
		"same version, other content":   {document(1, 200, "desk"), controlVM(t, before), 1, "version_reused"},
		"unreachable":                   {clean, closed, 3, "0 errors"},
		"unreachable, warnings":         {warned, closed, 3, "deadline_below_objective"},
		"unreachable, errors":           {rejected, closed, 2, "unknown_service"},
		"no configuration in force":     {clean, controlVM(t, ""), 3, "0 errors"},
		"unreadable document in force":  {clean, controlVM(t, "{"), 3, "0 errors"},
		"no such file in force":         {clean, "/no/such/file", 2, ""},
		"unreadable file in force":      {clean, writeDocument(t, "{"), 2, ""},
		"unreadable":                    {"{", "", 2, "next.json:1: error: cannot parse the configuration: unexpected end of JSON input (unreadable)"},
		"as large as control VMs allow": {clean + strings.Repeat(" ", 8<<20-len(clean)), "", 0, "0 errors"},
		"one byte larger":               {clean + strings.Repeat(" ", 8<<20-len(clean)+1), "", 2, "exceeds the 8388608 bytes that control VMs accept (unreadable)"},
	} {
		t.Run(name, func(t *testing.T) {
			args := []string{writeDocument(t, c.file)}
			if c.against != "" {
				args = append(args, "--against", c.against)
			}
			status, out, errOut := runCheck(args...)
			assert.Equal(t, status, c.status, "%s%s", out, errOut)
			assert.Assert(t, strings.Contains(out, c.want), "%s", out)
			assert.Equal(t, errOut != "", status == 3 || out == "", "%s", errOut)
		})
	}
}

// TestUnreadableFilesGiveOneError guards against a check that reads a file without end, or waits for
// one.
func TestUnreadableFilesGiveOneError(t *testing.T) {
	folder := t.TempDir()
	for path, want := range map[string]string{
		"/dev/zero":                      "exceeds the 8388608 bytes",
		folder:                           "is a directory",
		filepath.Join(folder, "no.json"): "no such file",
	} {
		status, out, _ := runCheck(path)
		assert.Equal(t, status, 2)
		assert.Equal(t, strings.Count(out, "error:"), 1, out)
		assert.Assert(t, strings.Contains(out, want), out)
	}
}

// TestPipeWithoutWriterIsGivenUp guards against a check that never ends: opening such a pipe
// blocks.
func TestPipeWithoutWriterIsGivenUp(t *testing.T) {
	if testing.Short() {
		t.Skip("takes 10 s, the time limit of a check")
	}
	path := filepath.Join(t.TempDir(), "pipe")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	status, out, _ := runCheck(path)
	assert.Equal(t, status, 2)
	assert.Assert(t, strings.Contains(out, "has no end or can't be read in time"), out)
}

// TestJSONOutput guards scripts that read the findings. Flags may stand before or after the file.
func TestJSONOutput(t *testing.T) {
	path := writeDocument(t, document(2, 99, "desk"))
	for _, args := range [][]string{{path, "--output", "json"}, {"-output=json", path}, {"-o", "json", path}, {path, "-o=json"}} {
		status, out, errOut := runCheck(args...)
		assert.Equal(t, status, 1, errOut)
		var report struct {
			File             string
			Errors, Warnings int
			Findings         []check.Finding
		}
		assert.NilError(t, json.Unmarshal([]byte(out), &report), out)
		assert.Equal(t, report.File, path)
		assert.Equal(t, report.Warnings, 1)
		assert.DeepEqual(t, report.Findings, []check.Finding{{
			Severity: check.Warning, Kind: check.DeadlineBelowObjective, Line: 2, Field: "routes[0].timeout_ms", Route: "look",
			Message: `route "look" has a timeout of 99ms, below its latency objective of 100ms`,
		}})
	}
	_, out, _ := runCheck(writeDocument(t, document(2, 100, "desk")), "-o", "json")
	assert.Assert(t, strings.Contains(out, `"findings":[`) && json.Valid([]byte(out)), out)
	_, out, errOut := runCheck(path, "--against", "127.0.0.1:1", "-o", "json")
	assert.Assert(t, strings.Contains(out, `"unreachable":"127.0.0.1:1`) && json.Valid([]byte(out)), "%s%s", out, errOut)
}

// TestCheckUsageErrors guards against a misspelled command line that looks like a clean check.
func TestCheckUsageErrors(t *testing.T) {
	for line, want := range map[string]string{
		"":                   "expected exactly one file",
		"a b":                "expected exactly one file",
		"a -agianst b":       "not defined",
		"a -o yaml":          `output "yaml" is neither text nor json`,
		"a -entry-memory -1": "must not be negative",
		"a -entry-vms=-1":    "must not be negative",
	} {
		status, _, errOut := runCheck(strings.Fields(line)...)
		assert.Equal(t, status, 2, line)
		assert.Assert(t, strings.Contains(errOut, want), "%s: %s", line, errOut)
	}
}

// largeDocument has as many teams and routes as the largest configuration expected.
func largeDocument(version int, host string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"s"}],"routes":[`, version)
	for i := range 20_000 - 1 {
		fmt.Fprintf(&b, "\n{\"name\":\"r-%d\",\"host\":%q,\"path_prefix\":\"/p%d/\",\"type\":\"safe\",\"timeout_ms\":600,\"target_latency_ms\":200,\"priority\":2,\"service\":\"s\",\"max_attempts\":2},", i, host, i)
	}
	fmt.Fprintf(&b, "\n{\"name\":\"last\",\"host\":%q,\"path_prefix\":\"/\",\"type\":\"safe\",\"timeout_ms\":600,\"service\":\"s\"}],\"tenants\":[", host)
	for i := range 14_000 - 1 {
		fmt.Fprintf(&b, "\n{\"name\":\"team-%d\",\"api_keys\":[\"key-%s-%d\"],\"priority\":1},", i, host, i)
	}
	b.WriteString("\n{\"name\":\"last\",\"api_keys\":[\"last\"]}]}")
	return b.String()
}

// TestLargeFileNeedsLittleMemory guards against a command that allocates more than 100 MB, also
// where every route and key differs from the version in force.
func TestLargeFileNeedsLittleMemory(t *testing.T) {
	inForce := writeDocument(t, largeDocument(1, "a.example"))
	for _, host := range []string{"a.example", "b.example"} {
		for _, output := range []string{"text", "json"} {
			path := writeDocument(t, largeDocument(2, host))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			status := ctl.Run([]string{"config", "check", path, "--against", inForce, "-o", output}, discard{}, discard{}, ctl.WithDocuments(platform.Documents{}))
			runtime.ReadMemStats(&after)
			assert.Equal(t, status, 0)
			allocated := (after.TotalAlloc - before.TotalAlloc) >> 20
			t.Logf("%s, %s: %d MB allocated", host, output, allocated)
			assert.Assert(t, allocated < maxAllocatedMegabytes, "%s, %s: %d MB", host, output, allocated)
		}
	}
}

// discard is a writer that, unlike io.Discard, keeps no buffers.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

func BenchmarkCheckOfALargeFile(b *testing.B) {
	inForce := writeDocument(b, largeDocument(1, "a.example"))
	for _, host := range []string{"a.example", "b.example"} {
		b.Run(map[bool]string{true: "same", false: "all_changed"}[host == "a.example"], func(b *testing.B) {
			path := writeDocument(b, largeDocument(2, host))
			b.ReportAllocs()
			for b.Loop() {
				ctl.Run([]string{"config", "check", path, "--against", inForce}, discard{}, discard{}, ctl.WithDocuments(platform.Documents{}))
			}
		})
	}
}
