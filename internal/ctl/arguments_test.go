package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func run(args ...string) (errOut string, status int) {
	var stdout, stderr bytes.Buffer
	status = Run(args, &stdout, &stderr)
	return stderr.String(), status
}

// TestInvalidCommandLines checks that an invalid command line returns ExitUsage, which
// means that nothing was sent, and names the error.
func TestInvalidCommandLines(t *testing.T) {
	plan := filepath.Join(t.TempDir(), "plan.json")
	assert.NilError(t, os.WriteFile(plan, []byte("{}"), 0o600))
	for line, want := range map[string]string{
		"confrim":              "there is no command",
		"move forward":         "there is no command",
		"report brun":          "there is no command",
		"confirm -paln x":      "not defined",
		"status -o json extra": "unknown argument",
		"confirm -plan " + plan + " -why new booking desk": "unknown argument",
		"status":       "-control is missing",
		"move pause":   "expected exactly one move ID",
		"plan -f none": "no such file",
	} {
		errOut, status := run(strings.Fields(line)...)
		assert.Equal(t, status, ExitUsage, line)
		assert.Assert(t, strings.Contains(errOut, want), "%s: %s", line, errOut)
	}
	_, status := run()
	assert.Equal(t, status, ExitOK)
}

// TestFlagPrecedence checks that a flag overrides the environment, which overrides the
// config file.
func TestFlagPrecedence(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	_, status := run("certs", "-folder", folder, "-role", "operator", "ana")
	assert.Equal(t, status, ExitOK)
	config := filepath.Join(folder, "ctl.yaml")
	text := "control: from-file\ncertificate: " + folder + "/ana.pem\nkey: " + folder + "/ana-key.pem\nauthority: " + folder + "/ca.pem\nplan: ignored\n"
	assert.NilError(t, os.WriteFile(config, []byte(text), 0o600))
	assertControlAddress := func(want string, args ...string) {
		t.Helper()
		errOut, status := run(append([]string{"status", "-config", config}, args...)...)
		assert.Equal(t, status, ExitUsage)
		assert.Assert(t, strings.Contains(errOut, `"`+want+`" is not IP:port`), errOut)
	}
	assertControlAddress("from-file")
	t.Setenv("CHICORYCTL_CONTROL", "from-environment")
	assertControlAddress("from-environment")
	assertControlAddress("from-flag", "-control", "from-flag")
}
