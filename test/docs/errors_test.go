package docs_test

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

const errorsPage = "../../docs/operations/errors.md"

// errorCells is the number of cells in a row of the errors page.
const errorCells = 7

var ranWords = map[chicoryv1.Ran]string{
	chicoryv1.Ran_RAN_NOT_RUN: "not run",
	chicoryv1.Ran_RAN_RAN:     "ran",
	chicoryv1.Ran_RAN_UNKNOWN: "unknown",
}

var retryWords = map[fault.Retry]string{
	fault.RetryNever:   "never",
	fault.RetryLater:   "later",
	fault.RetrySameKey: "same key",
	fault.RetryResume:  "resume",
	fault.RetryPlan:    "plan again",
	fault.RetryLeader:  "leader",
}

func TestErrorsPageHasEveryKind(t *testing.T) {
	page := tableRows(t, errorsPage)
	for _, row := range fault.Table() {
		cells, ok := page[string(row.Kind)]
		assert.Assert(t, ok, "%s has no row for %s", errorsPage, row.Kind)
		assert.Equal(t, len(cells), errorCells, row.Kind)
		assert.Equal(t, strings.Trim(cells[1], "`"), row.Code.String(), "code of %s", row.Kind)
		assert.Equal(t, cells[2], strconv.Itoa(row.Status), "status of %s", row.Kind)
		assert.Equal(t, cells[3], ranWords[row.Ran], "statement of %s", row.Kind)
		assert.Equal(t, cells[4], retryWords[row.Retry], "advice of %s", row.Kind)
	}
	assert.Equal(t, len(page), len(fault.Table()), "%s has rows for kinds that don't exist", errorsPage)
}

// tableRows returns the cells of each table row of a page whose first cell is a name
// in code style, keyed by that name.
func tableRows(t *testing.T, path string) map[string][]string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	rows := map[string][]string{}
	for line := range strings.Lines(string(data)) {
		cells := cellsOf(line)
		if len(cells) == 0 || !isName(cells[0]) {
			continue
		}
		name := strings.Trim(cells[0], "`")
		assert.Assert(t, rows[name] == nil, "%s has two rows for %s", path, name)
		rows[name] = cells
	}
	return rows
}

func cellsOf(line string) []string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") || !strings.HasSuffix(line, "|") {
		return nil
	}
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

func isName(cell string) bool {
	return len(cell) > 2 && strings.Count(cell, "`") == 2 && cell[0] == '`' && cell[len(cell)-1] == '`'
}
