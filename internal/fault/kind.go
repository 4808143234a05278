package fault

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// Kind is the wire name of an error kind. The set of kinds is fixed.
type Kind string

// The error kinds. Each has exactly one row in table.
const (
	// InvalidArgument: the request is malformed.
	InvalidArgument Kind = "invalid_argument"
	// Unauthenticated: the team's or operator's key is missing or wrong.
	Unauthenticated Kind = "unauthenticated"
	// PermissionDenied: the request refers to a resource of another team.
	PermissionDenied Kind = "permission_denied"
	// UnknownRoute: the current configuration has no such route.
	UnknownRoute Kind = "unknown_route"
	// NotFound: an operator request refers to an object that does not exist.
	NotFound Kind = "not_found"
	// NoTarget: no target is currently available for the request.
	NoTarget Kind = "no_target"
	// PromptQuarantined: a part of the prompt crashes the engines that answer it.
	PromptQuarantined Kind = "prompt_quarantined"
	// RequestQuarantined: the request crashes the targets that run it.
	RequestQuarantined Kind = "request_quarantined"
	// Overloaded: the request would still be queued at its deadline.
	Overloaded Kind = "overloaded"
	// TeamLimit: the team has reached its own limit.
	TeamLimit Kind = "team_limit"
	// DeadlineNotRun: the deadline passed before the request was sent to any target.
	DeadlineNotRun Kind = "deadline_not_run"
	// DeadlineUnknown: the deadline passed after the request may have reached a target.
	DeadlineUnknown Kind = "deadline_unknown"
	// OutcomeUnknown: the call may have run; its response was lost.
	OutcomeUnknown Kind = "outcome_unknown"
	// LedgerUnavailable: the call ledger is unreachable; a call with this key may already have run.
	LedgerUnavailable Kind = "ledger_unavailable"
	// KeyRequired: the route's calls are not idempotent and the call has no idempotency key.
	KeyRequired Kind = "key_required"
	// KeyConflict: the idempotency key was already used for a different call.
	KeyConflict Kind = "key_conflict"
	// KeyTooOld: the idempotency key's timestamp is outside the retention period.
	KeyTooOld Kind = "key_too_old"
	// TargetRefused: the target ran the call and returned an error.
	TargetRefused Kind = "target_refused"
	// GenerationLost: the part already sent to the caller can't be proved complete, so the
	// generation can't be continued.
	GenerationLost Kind = "generation_lost"
	// GenerationInterrupted: the attempt ended early and can be resumed with the resume token.
	GenerationInterrupted Kind = "generation_interrupted"
	// ResumeTokenInvalid: the resume token is forged, damaged or unknown.
	ResumeTokenInvalid Kind = "resume_token_invalid"
	// ResumeTokenExpired: the resume token has expired.
	ResumeTokenExpired Kind = "resume_token_expired"
	// OffsetOutOfRange: the requested offset is beyond the last token sent to the caller.
	OffsetOutOfRange Kind = "offset_out_of_range"
	// PromptTooLong: the prompt exceeds the route's limit.
	PromptTooLong Kind = "prompt_too_long"
	// HeaderTooLarge: the request headers exceed the configured limit.
	HeaderTooLarge Kind = "header_too_large"
	// BodyTooLarge: the request body exceeds the configured limit.
	BodyTooLarge Kind = "body_too_large"
	// EngineMisbehaved: the engine violated the protocol.
	EngineMisbehaved Kind = "engine_misbehaved"
	// Cancelled: the caller cancelled the request or disconnected.
	Cancelled Kind = "cancelled"
	// Draining: the process is shutting down and has not started this request.
	Draining Kind = "draining"
	// NotReady: the process has not received a configuration yet, or has no memory for the request.
	NotReady Kind = "not_ready"
	// NotLeader: this control VM is not the leader.
	NotLeader Kind = "not_leader"
	// NoQuorum: the control VMs can't commit at present; a confirm may still take effect.
	NoQuorum Kind = "no_quorum"
	// PlanStale: an item that the plan was based on has changed since.
	PlanStale Kind = "plan_stale"
	// PlanRejected: the change would make the configuration invalid.
	PlanRejected Kind = "plan_rejected"
	// RequestConflict: the request ID was already used with different content.
	RequestConflict Kind = "request_conflict"
	// FencingRefused: a target rejected an order with an outdated fencing number.
	FencingRefused Kind = "fencing_refused"
	// StorageFailed: a write or sync to disk failed, or stored records are corrupt.
	StorageFailed Kind = "storage_failed"
	// SettingsInvalid: a settings file is invalid.
	SettingsInvalid Kind = "settings_invalid"
	// Internal: an error inside this program.
	Internal Kind = "internal"
)

// Retry advises the caller whether and how to retry.
type Retry string

// The values of Retry.
const (
	// RetryNever: the same request will fail again.
	RetryNever Retry = "never"
	// RetryLater: the same request may be sent again after RetryAfter.
	RetryLater Retry = "later"
	// RetrySameKey: the same call may be sent again with the same key after RetryAfter.
	RetrySameKey Retry = "same_key"
	// RetryResume: the generation may be resumed at once with the resume token.
	RetryResume Retry = "resume"
	// RetryPlan: make a new plan.
	RetryPlan Retry = "plan_again"
	// RetryLeader: send the request to the leading control VM.
	RetryLeader Retry = "leader"
)

// Row holds the response for one error kind: its codes, retry advice and defaults.
type Row struct {
	Kind   Kind
	Code   connect.Code
	Status int
	// Ran is the default statement whether the request ran; an Error may be more specific.
	Ran        chicoryv1.Ran
	Retry      Retry
	RetryAfter time.Duration
}

// Default delays before a retry.
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
	{PromptQuarantined, connect.CodeUnavailable, http.StatusServiceUnavailable, notRun, RetryLater, retryLater},
	{RequestQuarantined, connect.CodeUnavailable, http.StatusServiceUnavailable, notRun, RetryLater, retryLater},
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

// statusClientClosedRequest is the HTTP status that Connect uses for a cancelled request.
const statusClientClosedRequest = 499

var rowByKind = indexTable()

func indexTable() map[Kind]Row {
	m := make(map[Kind]Row, len(table))
	for _, r := range table {
		m[r.Kind] = r
	}
	return m
}

// Row returns the kind's row, or the row of Internal for an unknown kind.
func (k Kind) Row() Row {
	if r, ok := rowByKind[k]; ok {
		return r
	}
	return rowByKind[Internal]
}

// Table returns a copy of the rows of all kinds, in the order of their declaration.
func Table() []Row {
	return append([]Row(nil), table...)
}
