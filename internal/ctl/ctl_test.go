package ctl

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestWrongUsageHasItsExitStatus(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"nonsense"}, `there is no command "nonsense"`},
		{[]string{"move", "sideways"}, `there is no command "sideways"`},
		{[]string{"report", "fire"}, `there is no command "fire"`},
		{[]string{"status", "-o", "yaml"}, `output "yaml" is neither text nor json`},
		{[]string{"status"}, "the flag -control is missing"},
		{[]string{"confirm", "-plan", "missing.json"}, "missing.json"},
	} {
		var out, errOut bytes.Buffer
		assert.Equal(t, Run(c.args, &out, &errOut), ExitUsage, "%v: %s", c.args, errOut.String())
		assert.Assert(t, cmp.Contains(errOut.String(), c.want))
	}
}

func TestHelpIsNoError(t *testing.T) {
	var out, errOut bytes.Buffer
	assert.Equal(t, Run([]string{"-h"}, &out, &errOut), ExitOK)
	assert.Equal(t, Run(nil, &out, &errOut), ExitOK)
	assert.Equal(t, errOut.String(), "")
}
