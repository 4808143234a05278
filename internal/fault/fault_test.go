package fault

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// declaredKinds returns the constants of type Kind that kind.go declares.
func declaredKinds(t *testing.T) []Kind {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	assert.NilError(t, err)
	var kinds []Kind
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "Kind" {
			name, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			kinds = append(kinds, Kind(name))
		}
		return true
	})
	return kinds
}

func TestEveryKindHasExactlyOneRow(t *testing.T) {
	kinds := declaredKinds(t)
	assert.Equal(t, len(kinds), len(table))
	seen := map[Kind]int{}
	for _, r := range Table() {
		seen[r.Kind]++
	}
	for _, k := range kinds {
		assert.Equal(t, seen[k], 1, "kind %s", k)
		assert.Assert(t, k.Row().Status >= 400, "kind %s", k)
	}
}

func TestConnectErrorRoundTrip(t *testing.T) {
	for _, r := range Table() {
		err := errors.Annotate(New(r.Kind, "told"), "wrapped")
		c := ToConnect(err, "r1")
		assert.Equal(t, c.Code(), r.Code)
		got := FromConnect(c)
		assert.DeepEqual(t, got, New(r.Kind, "told"))
	}
}

func TestErrorsWithoutKind(t *testing.T) {
	assert.Assert(t, Of(nil) == nil)
	assert.Equal(t, Of(errors.New("x")).Kind, Internal)
	assert.Assert(t, FromConnect(connect.NewError(connect.CodeUnavailable, errors.New("reset"))) == nil)
}
