package ctl

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

func TestUsageErrors(t *testing.T) {
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
		var stdout, stderr bytes.Buffer
		assert.Equal(t, Run(c.args, &stdout, &stderr), ExitUsage, "%v: %s", c.args, stderr.String())
		assert.Assert(t, cmp.Contains(stderr.String(), c.want))
	}
}

func TestHelpExitsWithOK(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, Run([]string{"-h"}, &stdout, &stderr), ExitOK)
	assert.Equal(t, Run(nil, &stdout, &stderr), ExitOK)
	assert.Equal(t, stderr.String(), "")
}
