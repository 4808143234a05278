package declared

import "github.com/chicoryswitch/chicoryswitch/internal/fault"

// Section is a list of a configuration, or another part of it.
type Section int

// The sections.
const (
	SectionConfiguration Section = iota
	SectionRoutes
	SectionServices
	SectionTeams
	SectionLimits
)

// Item identifies an item of a configuration by its index in its section.
type Item struct {
	Section Section
	Index   int
	Name    string
}

// Field is a field of an item. Documents may have other names for it.
type Field string

// The fields.
const (
	FieldVersion          Field = "version"
	FieldName             Field = "name"
	FieldHost             Field = "host"
	FieldPathPrefix       Field = "path prefix"
	FieldRetryPolicy      Field = "retry policy"
	FieldTimeout          Field = "timeout"
	FieldLatencyObjective Field = "latency objective"
	FieldMaxEventGap      Field = "maximum event gap"
	FieldPriority         Field = "priority"
	FieldMaxAttempts      Field = "maximum attempts"
	FieldServices         Field = "services"
	FieldPublic           Field = "public"
	FieldHealthPath       Field = "health path"
	FieldMaxConnections   Field = "maximum connections"
	FieldEngine           Field = "engine"
	FieldKeys             Field = "keys"
	FieldHeaderBytes      Field = "header bytes"
	FieldBodyBytes        Field = "body bytes"
	FieldHeaderTimeout    Field = "header timeout"
	FieldIdleTimeout      Field = "idle timeout"
)

// ProblemKind is the kind of a Problem. The set of kinds is fixed.
type ProblemKind string

// The kinds of problems.
const (
	// ProblemUnreadable: the document can't be parsed.
	ProblemUnreadable ProblemKind = "unreadable"
	// ProblemInvalidValue: a value of the document has the wrong type.
	ProblemInvalidValue ProblemKind = "invalid_value"
	// ProblemUnknownRouteType: the document has an unknown type of routes.
	ProblemUnknownRouteType ProblemKind = "unknown_route_type"
	ProblemNoVersion        ProblemKind = "no_version"
	ProblemUnnamedService   ProblemKind = "unnamed_service"
	// ProblemDuplicateRoute: an earlier route has the same host and path prefix.
	ProblemDuplicateRoute ProblemKind = "duplicate_route"
	ProblemNoTimeout      ProblemKind = "no_timeout"
	// ProblemInvalidPrefix: the path prefix doesn't begin and end with a slash.
	ProblemInvalidPrefix  ProblemKind = "invalid_prefix"
	ProblemUnknownService ProblemKind = "unknown_service"
	// ProblemNoWeight: the weights of a route add up to 0.
	ProblemNoWeight ProblemKind = "no_weight"
	// ProblemSharedKey: two teams hold the same key.
	ProblemSharedKey ProblemKind = "shared_key"
)

// Problem is a reason for which control VMs reject a configuration.
type Problem struct {
	Kind    ProblemKind
	Item    Item
	Field   Field
	Message string
	// Line and FieldName locate the problem in the document. They are set only for
	// problems of the document itself, which no Field can describe.
	Line      int
	FieldName string
}

// Err returns the error with which control VMs reject the configuration.
func (p Problem) Err() error { return fault.New(fault.PlanRejected, "%s", p.Message) }

// Document is a configuration document that was read to find all of its problems.
type Document struct {
	// Configuration holds what could be read. It is nil if the document can't be parsed.
	Configuration *Configuration
	// Problems are all reasons for which control VMs reject the document, the one that
	// they state first.
	Problems []Problem
	// Locate returns the line of a field, or of its item if the document doesn't contain
	// the field, and the document's name of the field. It is nil if Configuration is.
	Locate func(Item, Field) (line int, fieldName string)
}
