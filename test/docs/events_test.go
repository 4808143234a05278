package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	logsPage    = "../../docs/operations/logs-and-metrics.md"
	eventsFile  = "../../internal/process/logging/logging.go"
	eventsType  = "Event"
	logRowCells = 4
)

func TestLogsPageHasEveryEvent(t *testing.T) {
	page := tableRows(t, logsPage)
	events := eventNames(t)
	assert.Assert(t, len(events) > 0)
	for _, e := range events {
		cells, ok := page[e]
		assert.Assert(t, ok, "%s has no row for %s", logsPage, e)
		assert.Equal(t, len(cells), logRowCells, e)
	}
}

// eventNames returns the values of the constants of type Event.
func eventNames(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), eventsFile, nil, 0)
	assert.NilError(t, err)
	var names []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); ok && typ.Name == eventsType {
			names = append(names, eventName(t, spec))
		}
		return true
	})
	return names
}

func eventName(t *testing.T, spec *ast.ValueSpec) string {
	t.Helper()
	literal, ok := spec.Values[0].(*ast.BasicLit)
	assert.Assert(t, ok)
	name, err := strconv.Unquote(literal.Value)
	assert.NilError(t, err)
	return name
}
