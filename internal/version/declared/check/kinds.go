package check

import "github.com/chicoryswitch/chicoryswitch/internal/version/declared"

// Severity says what a finding means for sending the configuration.
type Severity string

// The severities.
const (
	// Error: control VMs reject the configuration.
	Error Severity = "error"
	// Warning: control VMs accept the configuration, but it probably doesn't do what it should.
	Warning Severity = "warning"
	// Info: a difference from the version in force.
	Info Severity = "info"
)

// Kind is the kind of a finding. The set of kinds is fixed: Kinds lists them.
type Kind string

// Errors have the kinds of declared.Problem.
const (
	Unreadable       = Kind(declared.ProblemUnreadable)
	InvalidValue     = Kind(declared.ProblemInvalidValue)
	UnknownRouteType = Kind(declared.ProblemUnknownRouteType)
	NoVersion        = Kind(declared.ProblemNoVersion)
	UnnamedService   = Kind(declared.ProblemUnnamedService)
	DuplicateRoute   = Kind(declared.ProblemDuplicateRoute)
	NoTimeout        = Kind(declared.ProblemNoTimeout)
	InvalidPrefix    = Kind(declared.ProblemInvalidPrefix)
	UnknownService   = Kind(declared.ProblemUnknownService)
	NoWeight         = Kind(declared.ProblemNoWeight)
	SharedKey        = Kind(declared.ProblemSharedKey)
)

// Entries without effect.
const (
	// UnmatchableRoute: no request of an ordinary client has the host and path of the route.
	UnmatchableRoute Kind = "unmatchable_route"
	// DuplicateName: an item has the name of an earlier one. Of services, the last one counts.
	DuplicateName Kind = "duplicate_name"
	// UnusedService: no route sends requests to the service.
	UnusedService Kind = "unused_service"
	// ZeroWeight: a service of a split gets no requests.
	ZeroWeight Kind = "zero_weight"
	// RepeatedKey: a team lists a key twice.
	RepeatedKey Kind = "repeated_key"
	// EmptyKey: requests without a key count as those of the team.
	EmptyKey Kind = "empty_key"
	// TeamWithoutKeys: no request can belong to the team.
	TeamWithoutKeys Kind = "team_without_keys"
	// TeamsWithoutRoute: no route asks for a key, so keys and priorities of teams have no effect.
	TeamsWithoutRoute Kind = "teams_without_route"
)

// Limits that contradict each other.
const (
	// InvalidLimit: a limit is negative, or a priority is not 0 to 9.
	InvalidLimit Kind = "invalid_limit"
	// DeadlineBelowObjective: the timeout is shorter than the latency objective.
	DeadlineBelowObjective Kind = "deadline_below_objective"
	// AttemptsExceedDeadline: the attempts need more than the timeout if each takes the latency
	// objective.
	AttemptsExceedDeadline Kind = "attempts_exceed_deadline"
	// GapExceedsDeadline: the longest gap between events is not below the timeout.
	GapExceedsDeadline Kind = "gap_exceeds_deadline"
	// TooFewConnections: targets accept fewer connections than their slots or the entry VMs need.
	TooFewConnections Kind = "too_few_connections"
	// BodyLimitExceedsMemory: one body of legal size needs more than the memory of an entry VM.
	BodyLimitExceedsMemory Kind = "body_limit_exceeds_memory"
)

// Differences from the version in force.
const (
	// VersionReused: the version is in force with other content; sending it changes nothing.
	VersionReused Kind = "version_reused"
	// VersionNotNewer: a later version is in force; sending this one changes nothing.
	VersionNotNewer Kind = "version_not_newer"
	RouteAdded      Kind = "route_added"
	RouteRemoved    Kind = "route_removed"
	RouteRenamed    Kind = "route_renamed"
	// RequestsMoved: the requests of a route go to other services, or in other shares.
	RequestsMoved      Kind = "requests_moved"
	RetryPolicyChanged Kind = "retry_policy_changed"
	PriorityChanged    Kind = "priority_changed"
	// KeyRequired and KeyNotRequired: requests of a route need a key from now on, or no longer.
	KeyRequired    Kind = "key_required"
	KeyNotRequired Kind = "key_not_required"
	LimitTightened Kind = "limit_tightened"
	LimitLoosened  Kind = "limit_loosened"
	ServiceAdded   Kind = "service_added"
	ServiceRemoved Kind = "service_removed"
	ServiceChanged Kind = "service_changed"
	TeamAdded      Kind = "team_added"
	TeamRemoved    Kind = "team_removed"
	KeyAdded       Kind = "key_added"
	// KeyRemoved: a key stops working.
	KeyRemoved Kind = "key_removed"
	// KeyMoved: a key belongs to another team.
	KeyMoved Kind = "key_moved"
	// FindingsLeftOut: there are more findings than are reported.
	FindingsLeftOut Kind = "findings_left_out"
)

var kinds = map[Kind]Severity{
	Unreadable: Error, InvalidValue: Error, UnknownRouteType: Error, NoVersion: Error, UnnamedService: Error,
	DuplicateRoute: Error, NoTimeout: Error, InvalidPrefix: Error, UnknownService: Error, NoWeight: Error, SharedKey: Error,

	UnmatchableRoute: Warning, DuplicateName: Warning, UnusedService: Warning, ZeroWeight: Warning, RepeatedKey: Warning,
	EmptyKey: Warning, TeamWithoutKeys: Warning, TeamsWithoutRoute: Warning,

	InvalidLimit: Warning, DeadlineBelowObjective: Warning, AttemptsExceedDeadline: Warning, GapExceedsDeadline: Warning,
	TooFewConnections: Warning, BodyLimitExceedsMemory: Warning,

	VersionReused: Warning, VersionNotNewer: Warning, RouteAdded: Info, RouteRemoved: Info, RouteRenamed: Info,
	RequestsMoved: Info, RetryPolicyChanged: Info, PriorityChanged: Info, KeyRequired: Info, KeyNotRequired: Info,
	LimitTightened: Info, LimitLoosened: Info, ServiceAdded: Info, ServiceRemoved: Info, ServiceChanged: Info,
	TeamAdded: Info, TeamRemoved: Info, KeyAdded: Info, KeyRemoved: Info, KeyMoved: Info, FindingsLeftOut: Info,
}

// Kinds returns all kinds of findings with their severities.
func Kinds() map[Kind]Severity {
	all := make(map[Kind]Severity, len(kinds))
	for k, s := range kinds {
		all[k] = s
	}
	return all
}
