package declared_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// TestProblemsAreAllFound guards against a problem that hides others, and checks that Validate
// states the first one.
func TestProblemsAreAllFound(t *testing.T) {
	c := validConfiguration()
	c.Version = 0
	c.Services = append(c.Services, declared.Service{})
	bad := route("bad", "/bad", declared.WeightedService{Service: "gone"}, declared.WeightedService{Service: "lost"})
	bad.Timeout = 0
	c.Routes = append(c.Routes, bad, c.Routes[0], c.Routes[0])
	c.Teams = append(c.Teams, declared.Team{Name: "other", Keys: []string{"k1"}}, declared.Team{Name: "third", Keys: []string{"k1"}})
	var kinds []declared.ProblemKind
	var items []int
	for p := range c.Problems() {
		kinds, items = append(kinds, p.Kind), append(items, p.Item.Index)
	}
	assert.DeepEqual(t, kinds, []declared.ProblemKind{
		declared.ProblemNoVersion, declared.ProblemUnnamedService,
		declared.ProblemNoTimeout, declared.ProblemInvalidPrefix, declared.ProblemUnknownService, declared.ProblemUnknownService, declared.ProblemNoWeight,
		declared.ProblemDuplicateRoute, declared.ProblemDuplicateRoute,
		declared.ProblemSharedKey, declared.ProblemSharedKey,
	})
	assert.DeepEqual(t, items, []int{0, 1, 1, 1, 1, 1, 1, 2, 3, 1, 2})
	assert.ErrorContains(t, c.Validate(), "the configuration has no version")
}
