// Package check finds what is wrong with a declared configuration before it is sent: what
// control VMs reject, entries without effect, limits that contradict each other, and how it
// differs from the version in force. It uses no network and no files.
package check

import (
	"fmt"
	"slices"

	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	// Line and Field locate the finding in the checked document. They are unset for items
	// that only the version in force has.
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Route   string `json:"route,omitempty"`
	Service string `json:"service,omitempty"`
	Team    string `json:"team,omitempty"`
	Message string `json:"message"`
}

// maxFindings bounds the memory of a check. It is above the number of entries of the largest
// configuration expected, 14,000 teams and 20,000 routes.
const maxFindings = 40_000

// Deployment is what a configuration doesn't state. A zero value means unknown.
type Deployment struct {
	// EntryVMs is the number of entry VMs.
	EntryVMs int
	// EntryMemory is the memory of the smallest entry VM in bytes.
	EntryMemory int64
}

// checker collects findings.
type checker struct {
	deployment Deployment
	// locate is nil if the items are not those of the checked document.
	locate   func(declared.Item, declared.Field) (int, string)
	findings []Finding
	leftOut  int
}

// Check returns the findings of a document: its errors first, then its warnings.
func Check(d *declared.Document, deployment Deployment) []Finding {
	c := &checker{deployment: deployment, locate: d.Locate}
	invalidValues := false
	for _, p := range d.Problems {
		c.addProblem(p)
		invalidValues = invalidValues || p.Kind == declared.ProblemInvalidValue
	}
	// Values that can't be read are missing from the configuration, so warnings could be wrong.
	if d.Configuration != nil && !invalidValues {
		c.checkEffects(d.Configuration)
		c.checkLimits(d.Configuration)
	}
	return c.result()
}

// Compare returns the differences of a document from the configuration in force. The document
// must have no invalid values.
func Compare(inForce *declared.Configuration, d *declared.Document) []Finding {
	c := &checker{locate: d.Locate}
	c.compare(inForce, d.Configuration)
	return c.result()
}

// Worst returns the highest severity of the findings, Info if there are none.
func Worst(findings []Finding) Severity {
	worst := Info
	for _, f := range findings {
		switch {
		case f.Severity == Error:
			return Error
		case f.Severity == Warning:
			worst = Warning
		}
	}
	return worst
}

func (c *checker) result() []Finding {
	if c.leftOut > 0 {
		c.findings = append(c.findings, Finding{
			Severity: kinds[FindingsLeftOut], Kind: FindingsLeftOut, Message: fmt.Sprintf("%d more findings are not shown", c.leftOut),
		})
	}
	return c.findings
}

func (c *checker) addProblem(p declared.Problem) {
	if p.Line == 0 {
		c.add(Kind(p.Kind), p.Item, p.Field, "%s", p.Message)
		return
	}
	if c.isFull() {
		return
	}
	f := newFinding(Kind(p.Kind), p.Item, p.Message)
	f.Line, f.Field = p.Line, p.FieldName
	c.keep(f)
}

// isFull reports whether no more findings are kept, and counts the one that is left out.
func (c *checker) isFull() bool {
	if len(c.findings) < maxFindings {
		return false
	}
	c.leftOut++
	return true
}

// add adds a finding on an item of the checked document.
func (c *checker) add(kind Kind, item declared.Item, field declared.Field, format string, args ...any) {
	if c.isFull() {
		return
	}
	f := newFinding(kind, item, fmt.Sprintf(format, args...))
	if c.locate != nil {
		f.Line, f.Field = c.locate(item, field)
	}
	c.keep(f)
}

// addRemoved adds a finding on an item that only the configuration in force has.
func (c *checker) addRemoved(kind Kind, item declared.Item, format string, args ...any) {
	if !c.isFull() {
		c.keep(newFinding(kind, item, fmt.Sprintf(format, args...)))
	}
}

// keep adds f to the findings. Their memory is doubled when it is full: the smaller steps of append
// allocate several times the size of the list.
func (c *checker) keep(f Finding) {
	if len(c.findings) == cap(c.findings) {
		c.findings = slices.Grow(c.findings, min(len(c.findings)+1, maxFindings+1-len(c.findings)))
	}
	c.findings = append(c.findings, f)
}

func newFinding(kind Kind, item declared.Item, message string) Finding {
	f := Finding{Severity: kinds[kind], Kind: kind, Message: message}
	switch item.Section {
	case declared.SectionRoutes:
		f.Route = item.Name
	case declared.SectionServices:
		f.Service = item.Name
	case declared.SectionTeams:
		f.Team = item.Name
	}
	return f
}

func routeItem(index int, r *declared.Route) declared.Item {
	return declared.Item{Section: declared.SectionRoutes, Index: index, Name: r.Name}
}

func serviceItem(index int, s *declared.Service) declared.Item {
	return declared.Item{Section: declared.SectionServices, Index: index, Name: s.Name}
}

func teamItem(index int, t *declared.Team) declared.Item {
	return declared.Item{Section: declared.SectionTeams, Index: index, Name: t.Name}
}
