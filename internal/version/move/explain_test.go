package move

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func TestExplainDescribesStateAndEnd(t *testing.T) {
	seen := map[string]bool{}
	m := testMove(false)
	for now := epoch; !Ended(m); now = now.Add(time.Second) {
		lines := Explain(m, now)
		assert.Assert(t, strings.Contains(lines[1], "deadline in "), lines[1])
		seen[strings.Fields(lines[1])[0]] = true
		m, _ = Step(m, constantTraffic(0)(m, now), now)
	}
	assert.DeepEqual(t, seen, map[string]bool{"starts": true, "waits": true, "goes": true, "is": true})
	text := strings.Join(Explain(m, epoch), "\n")
	assert.Assert(t, strings.Contains(text, "done, share 100.0%") && strings.Contains(text, "proved on"), text)
	paused, err := ApplyAction(testMove(false), chicoryv1.MoveActionKind_MOVE_ACTION_KIND_PAUSE, "op", epoch)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(Explain(paused, epoch)[1], "paused"))
}
