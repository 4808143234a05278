package examples_test

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/chicoryswitch/chicoryswitch/internal/process/control"
	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
	"github.com/chicoryswitch/chicoryswitch/internal/process/router"
	"github.com/chicoryswitch/chicoryswitch/internal/process/run"
)

// invalidCase replaces a text of an example file by an invalid one and states the
// error expected for it.
type invalidCase struct {
	file     string
	old, new string
	want     string
}

var invalidCases = []invalidCase{
	{"c1.yaml", "peer_address: 10.1.1.5:7100", "peer_address: control-a:7100", `broken.yaml:5: field peer_address: \"control-a:7100\" is not IP:port`},
	{"c1.yaml", "load_interval: 10s", "load_interval: soon", "broken.yaml:18: field load_interval"},
	{"c1.yaml", "id: c1\n", "id: c9\n", "broken.yaml:9: field control: does not list this VM, c9"},
	{"r1.yaml", "caller_address:", "callers_address:", "broken.yaml:4: field callers_address: unknown key"},
	{"r1.yaml", "resume_key_file: /etc/chicoryswitch/resume.key\n", "", "broken.yaml:2: field resume_key_file: value is missing"},
}

func TestInvalidSettingsErrorNamesFileLineAndField(t *testing.T) {
	for _, c := range invalidCases {
		status, text := checkSettings(t, serverOf(c.file), writeInvalid(t, c))
		assert.Equal(t, status, run.ExitUsage, c.want)
		assert.Assert(t, cmp.Contains(text, c.want))
		assert.Assert(t, cmp.Contains(text, "event=settings_rejected"))
	}
}

func TestCheckSettingsAcceptsTheExamples(t *testing.T) {
	for _, d := range deployments {
		for _, f := range settingsFiles(t, d, `[cr]\d\.yaml`) {
			status, text := checkSettings(t, serverOf(filepath.Base(f)), f)
			assert.Equal(t, status, run.ExitOK, text)
		}
	}
}

// writeInvalid writes a copy of a Celeste example with the replacement of c and
// returns its path.
func writeInvalid(t *testing.T, c invalidCase) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, "celeste", c.file))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), c.old), "%s has no %q", c.file, c.old)
	path := filepath.Join(t.TempDir(), "broken.yaml")
	assert.NilError(t, os.WriteFile(path, bytes.Replace(data, []byte(c.old), []byte(c.new), 1), 0o600))
	return path
}

// serverOf returns the server whose settings the file holds. The server panics when it
// is started.
func serverOf(file string) run.Server {
	s := run.Server{
		Name: "chicory-control", Role: "control",
		Settings: func() any { d := control.Defaults(); return &d },
	}
	if strings.HasPrefix(file, "r") {
		s.Name, s.Role = "chicory-router", "router"
		s.Settings = func() any { d := router.Defaults(); return &d }
	}
	s.Start = func(any, *logging.Logger) (run.Process, error) { panic("check-settings started the process") }
	return s
}

// checkSettings runs check-settings and returns its exit status and what it wrote to
// standard error.
func checkSettings(t *testing.T, s run.Server, path string) (int, string) {
	t.Helper()
	stderr := os.Stderr
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	os.Stderr = w
	status := s.Main([]string{"check-settings", "-settings", path})
	os.Stderr = stderr
	assert.NilError(t, w.Close())
	text, err := io.ReadAll(r)
	assert.NilError(t, err)
	return status, string(text)
}
