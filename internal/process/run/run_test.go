package run

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/process/logging"
)

type testSettings struct {
	ID string `yaml:"id" settings:"required"`
}

// newTestServer returns a server that counts its starts and stops. Its start returns
// startErr, its process fails with failure, and if both are nil it gets SIGTERM.
func newTestServer(started, stopped *int, startErr, failure error) Server {
	return Server{
		Name: "chicory-test", Role: "test",
		Settings: func() any { return &testSettings{} },
		ID:       func(s any) string { return s.(*testSettings).ID },
		Start: func(any, *logging.Logger) (Process, error) {
			*started++
			failed := make(chan error, 1)
			if failure != nil {
				failed <- failure
			} else if startErr == nil {
				_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
			}
			return Process{Stop: func() { *stopped++ }, Failed: failed}, startErr
		},
	}
}

func TestExitStatuses(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.yaml")
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(good, []byte("id: x\n"), 0o600))
	assert.NilError(t, os.WriteFile(bad, []byte("id: x\nwrong: 1\n"), 0o600))
	broken := errors.New("broken")
	for _, c := range []struct {
		name              string
		args              []string
		env               string
		startErr, failure error
		status            int
		started, stopped  int
	}{
		{name: "SIGTERM", args: []string{"-settings", good}, status: ExitOK, started: 1, stopped: 1},
		{name: "environment", env: good, status: ExitOK, started: 1, stopped: 1},
		{name: "failure", args: []string{"-settings", good}, failure: broken, status: ExitError, started: 1, stopped: 1},
		{name: "start fails", args: []string{"-settings", good}, startErr: broken, status: ExitError, started: 1},
		{name: "version", args: []string{"-version"}, status: ExitOK},
		{name: "check", args: []string{"check-settings", "-settings", good}, status: ExitOK},
		{name: "check of bad settings", args: []string{"check-settings", "-settings", bad}, status: ExitUsage},
		{name: "bad settings", args: []string{"-settings", bad}, status: ExitUsage},
		{name: "unknown flag", args: []string{"-nothing"}, status: ExitUsage},
		{name: "unknown command", args: []string{"serve", "-settings", good}, status: ExitUsage},
		{name: "command after the flags", args: []string{"-settings", good, "check-settings"}, status: ExitUsage},
		{name: "no settings", status: ExitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.env != "" {
				t.Setenv("CHICORY_TEST_SETTINGS", c.env)
			}
			started, stopped := 0, 0
			assert.Equal(t, newTestServer(&started, &stopped, c.startErr, c.failure).Main(c.args), c.status)
			assert.Equal(t, started, c.started)
			assert.Equal(t, stopped, c.stopped)
		})
	}
}
