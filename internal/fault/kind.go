package fault

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Kind is a name from the closed list of error kinds.
type Kind string

// The closed list. Each kind has one row in the table.
const (
	// InvalidArgument: the request is malformed.
	InvalidArgument Kind = "invalid_argument"
	// Unauthenticated: the team's or operator's key is missing or wrong.
	Unauthenticated Kind = "unauthenticated"
	// PermissionDenied: the request names something of another team.
	PermissionDenied Kind = "permission_denied"
	// UnknownRoute: no such route in the configuration in force.
	UnknownRoute Kind = "unknown_route"
	// NotFound: an operator named something that does not exist.
	NotFound Kind = "not_found"
	// NoTarget: no target can take the request now.
	NoTarget Kind = "no_target"
	// Overloaded: the queue can't reach the request before its deadline.
	Overloaded Kind = "overloaded"
	// TeamLimit: the team's own limit is used up.
	TeamLimit Kind = "team_limit"
	// DeadlineNotRun: the deadline passed before any target was given the request.
	DeadlineNotRun Kind = "deadline_not_run"
	// DeadlineUnknown: the deadline passed after a target may have been given the request.
	DeadlineUnknown Kind = "deadline_unknown"
	// OutcomeUnknown: the call may have run; its answer was lost.
	OutcomeUnknown Kind = "outcome_unknown"
	// LedgerUnavailable: the call ledger can't be reached; the key may have run earlier.
	LedgerUnavailable Kind = "ledger_unavailable"
	// KeyRequired: the route's calls may not be repeated and the call has no key.
	KeyRequired Kind = "key_required"
	// KeyConflict: the key was used with another body.
	KeyConflict Kind = "key_conflict"
	// KeyTooOld: the key's time is outside the retention period.
	KeyTooOld Kind = "key_too_old"
	// TargetRefused: the target ran the call and answered with an error.
	TargetRefused Kind = "target_refused"
	// GenerationLost: the released prefix can't be proved complete, so nothing can follow it.
	GenerationLost Kind = "generation_lost"
	// GenerationInterrupted: the attempt ended and can be resumed with the resume token.
	GenerationInterrupted Kind = "generation_interrupted"
	// ResumeTokenInvalid: the resume token is forged, damaged or unknown.
	ResumeTokenInvalid Kind = "resume_token_invalid"
	// ResumeTokenExpired: the resume token's time is over.
	ResumeTokenExpired Kind = "resume_token_expired"
	// OffsetOutOfRange: the caller names an offset beyond what was released.
	OffsetOutOfRange Kind = "offset_out_of_range"
	// PromptTooLong: the prompt is above the limit of the route.
	PromptTooLong Kind = "prompt_too_long"
	// HeaderTooLarge: the request's headers are above the configuration's limit.
	HeaderTooLarge Kind = "header_too_large"
	// BodyTooLarge: the request's body is above the configuration's limit.
	BodyTooLarge Kind = "body_too_large"
	// EngineMisbehaved: the engine broke its protocol.
	EngineMisbehaved Kind = "engine_misbehaved"
	// Cancelled: the caller cancelled or went away.
	Cancelled Kind = "cancelled"
	// Draining: the process is shutting down and took no work from this request.
	Draining Kind = "draining"
	// NotReady: the process has no configuration yet.
	NotReady Kind = "not_ready"
	// NotLeader: this control VM is not the leader.
	NotLeader Kind = "not_leader"
	// NoQuorum: the control VMs can't commit now; a confirm may still take effect.
	NoQuorum Kind = "no_quorum"
	// PlanStale: something that the plan read has changed.
	PlanStale Kind = "plan_stale"
	// PlanRejected: the change would make the configuration invalid.
	PlanRejected Kind = "plan_rejected"
	// RequestConflict: the request identity was used with another content.
	RequestConflict Kind = "request_conflict"
	// FencingRefused: a target refused an order with an old fencing number.
	FencingRefused Kind = "fencing_refused"
	// StorageFailed: the disk refused a write or a sync, or holds damaged records.
	StorageFailed Kind = "storage_failed"
	// SettingsInvalid: a settings file has an error.
	SettingsInvalid Kind = "settings_invalid"
	// Internal: a fault of this program.
	Internal Kind = "internal"
)

// Retry says what a caller may usefully do.
type Retry string

// The kinds of retry advice.
const (
	// RetryNever: the same request will be refused again.
	RetryNever Retry = "never"
	// RetryLater: the same request may be sent again after RetryAfter.
	RetryLater Retry = "later"
	// RetrySameKey: the same call may be sent again with the same key after RetryAfter.
	RetrySameKey Retry = "same_key"
	// RetryResume: the generation may be resumed at once with the resume token.
	RetryResume Retry = "resume"
	// RetryPlan: plan again.
	RetryPlan Retry = "plan_again"
	// RetryLeader: send the request to the leader.
	RetryLeader Retry = "leader"
)

// Row is the answer for one kind.
type Row struct {
	Kind   Kind
	Code   connect.Code
	Status int
	// Ran is what the refusal says about having run, unless narrowed.
	Ran        chicoryv1.Ran
	Retry      Retry
	RetryAfter time.Duration
}

const (
	retrySoon  = 200 * time.Millisecond
	retryLater = time.Second
)

const (
	notRun  = chicoryv1.Ran_RAN_NOT_RUN
	ran     = chicoryv1.Ran_RAN_RAN
	unknown = chicoryv1.Ran_RAN_UNKNOWN
)

var table = []Row{
	{InvalidArgument, connect.CodeInvalidArgument, http.StatusBadRequest, notRun, RetryNever, 0},
	{Unauthenticated, connect.CodeUnauthenticated, http.StatusUnauthorized, notRun, RetryNever, 0},
	{PermissionDenied, connect.CodePermissionDenied, http.StatusForbidden, notRun, RetryNever, 0},
	{UnknownRoute, connect.CodeNotFound, http.StatusNotFound, notRun, RetryNever, 0},
	{NotFound, connect.CodeNotFound, http.StatusNotFound, notRun, RetryNever, 0},
	{NoTarget, connect.CodeUnavailable, http.StatusServiceUnavailable, notRun, RetryLater, retryLater},
	{Overloaded, connect.CodeResourceExhausted, http.StatusTooManyRequests, notRun, RetryLater, retryLater},
	{TeamLimit, connect.CodeResourceExhausted, http.StatusTooManyRequests, notRun, RetryLater, retryLater},
	{DeadlineNotRun, connect.CodeDeadlineExceeded, http.StatusGatewayTimeout, notRun, RetryLater, retryLater},
	{DeadlineUnknown, connect.CodeDeadlineExceeded, http.StatusGatewayTimeout, unknown, RetrySameKey, retryLater},
	{OutcomeUnknown, connect.CodeAborted, http.StatusConflict, unknown, RetrySameKey, retryLater},
	{LedgerUnavailable, connect.CodeUnavailable, http.StatusServiceUnavailable, unknown, RetrySameKey, retryLater},
	{KeyRequired, connect.CodeInvalidArgument, http.StatusBadRequest, notRun, RetryNever, 0},
	{KeyConflict, connect.CodeAlreadyExists, http.StatusConflict, unknown, RetryNever, 0},
	{KeyTooOld, connect.CodeFailedPrecondition, http.StatusBadRequest, unknown, RetryNever, 0},
	{TargetRefused, connect.CodeUnknown, http.StatusInternalServerError, ran, RetryNever, 0},
	{GenerationLost, connect.CodeDataLoss, http.StatusInternalServerError, ran, RetryNever, 0},
	{GenerationInterrupted, connect.CodeUnavailable, http.StatusServiceUnavailable, ran, RetryResume, retrySoon},
	{ResumeTokenInvalid, connect.CodeInvalidArgument, http.StatusBadRequest, unknown, RetryNever, 0},
	{ResumeTokenExpired, connect.CodeFailedPrecondition, http.StatusBadRequest, unknown, RetryNever, 0},
	{OffsetOutOfRange, connect.CodeOutOfRange, http.StatusBadRequest, unknown, RetryNever, 0},
	{PromptTooLong, connect.CodeInvalidArgument, http.StatusBadRequest, notRun, RetryNever, 0},
	{HeaderTooLarge, connect.CodeInvalidArgument, http.StatusRequestHeaderFieldsTooLarge, notRun, RetryNever, 0},
	{BodyTooLarge, connect.CodeInvalidArgument, http.StatusRequestEntityTooLarge, notRun, RetryNever, 0},
	{EngineMisbehaved, connect.CodeInternal, http.StatusInternalServerError, ran, RetryNever, 0},
	{Cancelled, connect.CodeCanceled, statusClientClosedRequest, unknown, RetryNever, 0},
	{Draining, connect.CodeUnavailable, http.StatusServiceUnavailable, notRun, RetryLater, retrySoon},
	{NotReady, connect.CodeUnavailable, http.StatusServiceUnavailable, notRun, RetryLater, retryLater},
	{NotLeader, connect.CodeFailedPrecondition, http.StatusBadRequest, notRun, RetryLeader, retrySoon},
	{NoQuorum, connect.CodeUnavailable, http.StatusServiceUnavailable, unknown, RetryLater, retryLater},
	{PlanStale, connect.CodeAborted, http.StatusConflict, notRun, RetryPlan, 0},
	{PlanRejected, connect.CodeFailedPrecondition, http.StatusBadRequest, notRun, RetryNever, 0},
	{RequestConflict, connect.CodeAlreadyExists, http.StatusConflict, notRun, RetryNever, 0},
	{FencingRefused, connect.CodeFailedPrecondition, http.StatusBadRequest, notRun, RetryNever, 0},
	{StorageFailed, connect.CodeInternal, http.StatusInternalServerError, unknown, RetryLater, retryLater},
	{SettingsInvalid, connect.CodeInvalidArgument, http.StatusBadRequest, notRun, RetryNever, 0},
	{Internal, connect.CodeInternal, http.StatusInternalServerError, unknown, RetryNever, 0},
}

// statusClientClosedRequest is what Connect answers for a cancelled request.
const statusClientClosedRequest = 499

var rows = indexTable()

func indexTable() map[Kind]Row {
	m := make(map[Kind]Row, len(table))
	for _, r := range table {
		m[r.Kind] = r
	}
	return m
}

// Row returns the kind's row. A name outside the list gets the row of Internal.
func (k Kind) Row() Row {
	if r, ok := rows[k]; ok {
		return r
	}
	return rows[Internal]
}

// Table returns a copy of the whole table, in the order of the list.
func Table() []Row {
	return append([]Row(nil), table...)
}
