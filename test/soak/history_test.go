package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Kinds of requests. A request's ID begins with its kind.
const (
	kindIdempotent    = "look"   // a call that may be repeated
	kindNonIdempotent = "pay"    // a call that runs at most once
	kindStream        = "draft"  // a stream
	kindMarker        = "mark"   // a call on a marker route, which only one configuration has
	kindRefusedRoute  = "bad"    // a call on a route of a refused configuration
	kindUnknownKey    = "nokey"  // a call with an unknown key
	kindDeadly        = "deadly" // a call that crashes each target that runs it
)

func kindOf(id string) string {
	kind, _, _ := strings.Cut(id, "-")
	return kind
}

// request is one request as its caller saw it.
type request struct {
	id, entry string
	// processStart is the number of the entry VM's process that received the request,
	// or 0 if the process was restarted meanwhile.
	processStart int
	// version is the version of the configuration that has the route, for kindMarker.
	version     int
	sent, ended time.Time
	status      int    // 0 without an answer
	signer      string // the target that signed the answer
	body        string
	err         error // why the answer is incomplete
	cancelled   bool  // the caller went away before the end
	uri         string
}

// whole reports whether the caller received a complete answer.
func (r *request) whole() bool { return r.status != 0 && r.err == nil }

// served reports whether the caller received a complete answer with status 200.
func (r *request) served() bool { return r.whole() && r.status == 200 }

// targetRun is one run of a request at a target.
type targetRun struct {
	target       string
	began, ended time.Time // ended is zero while the run lasts
}

// declaration is one configuration that the operator sent.
type declaration struct {
	version     int
	document    string
	sent, acked time.Time // acked is zero until the configuration is confirmed
}

// configRead is one control VM's answer to a request for the newest configuration.
type configRead struct {
	keeper   string
	sent     time.Time
	version  int
	document string
}

// namedLimit is a limit that a target named for some time, in requests per second, and the times
// at which it received requests.
type namedLimit struct {
	target   string
	rate     float64
	from, to time.Time
	received []time.Time
}

// fault is one injected fault. Its subject is a VM, a target or the list of targets.
type fault struct {
	kind, subject string
	from, to      time.Time // to is zero while the fault is active
}

// history records everything that callers, operators and targets observed, and all
// injected faults.
type history struct {
	begin time.Time
	print func(string)
	// earlierBuilds: programs of an earlier build run beside those of this one.
	earlierBuilds bool

	mu           sync.Mutex // guards the fields below
	sentIDs      map[string]bool
	runs         map[string][]*targetRun
	requests     []*request
	answers      map[string]*request
	declarations []*declaration
	refused      map[string]bool // documents that must be refused
	reads        []configRead
	faults       []*fault
	limits       []namedLimit
	targetEnds   map[string][]time.Time // of targets that started again under their ID
	resets       map[string][]time.Time // of connections to targets, by entry VM
	held         map[string]bool        // requests that a link to a target held back, by ID
	violations   []string
	reported     map[string]bool // violations that were reported already; each is reported once
}

func newHistory(print func(string)) *history {
	return &history{
		begin: time.Now(), print: print,
		sentIDs: map[string]bool{}, runs: map[string][]*targetRun{}, answers: map[string]*request{},
		refused: map[string]bool{}, reported: map[string]bool{}, targetEnds: map[string][]time.Time{}, resets: map[string][]time.Time{}, held: map[string]bool{},
	}
}

// elapsed formats the time since the start of the run, for messages.
func (h *history) elapsed(t time.Time) string {
	return fmt.Sprintf("%.3fs", t.Sub(h.begin).Seconds())
}

// addViolationLocked records a violated guarantee. The caller holds mu.
func (h *history) addViolationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if h.reported[text] {
		return
	}
	h.reported[text] = true
	h.violations = append(h.violations, text)
	h.print("VIOLATION " + h.elapsed(time.Now()) + " " + text)
}

// addViolation records a violated guarantee. The caller must not hold mu.
func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(format, args...)
}

// Began implements standin.Watcher.
func (h *history) Began(id, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if violation := h.runViolation(id); violation != "" {
		h.addViolationLocked("request %s runs at %s: %s", id, target, violation)
	}
	h.runs[id] = append(h.runs[id], &targetRun{target: target, began: time.Now()})
}

// runViolation returns why a request must not start to run now, or "" if it may.
func (h *history) runViolation(id string) string {
	kind := kindOf(id)
	answer := h.answers[id]
	switch {
	case !h.sentIDs[id]:
		return "no caller sent it"
	case kind == kindRefusedRoute:
		return "its route belongs to a configuration that was refused"
	case kind == kindUnknownKey:
		return "its key is unknown"
	case kind == kindNonIdempotent && len(h.runs[id]) > 0:
		return "it ran before and must run at most once"
	case kind == kindNonIdempotent && answer != nil && answer.signer == "" && standin.IsNotRunStatus(answer.status):
		return fmt.Sprintf("it was answered with status %d, which states that it never runs", answer.status)
	}
	return ""
}

// Ended implements standin.Watcher.
func (h *history) Ended(id, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.runs[id] {
		if r.target == target && r.ended.IsZero() {
			r.ended = time.Now()
			return
		}
	}
}

// recordSent records that a caller is about to send a request.
func (h *history) recordSent(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentIDs[id] = true
}

// recordAnswer records a caller's answer and checks the guarantees that hold
// regardless of faults.
func (h *history) recordAnswer(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
	h.answers[r.id] = r
	if violation := answerViolation(r, h.runs[r.id]); violation != "" {
		h.addViolationLocked("request %s at %s: %s", r.id, r.entry, violation)
	}
}

func (h *history) recordLimit(l namedLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// recordTargetEnd records that a target ends now and will start again under its ID.
func (h *history) recordTargetEnd(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targetEnds[instance] = append(h.targetEnds[instance], time.Now())
}

// recordReset records that the network resets a connection of an entry VM to a target now.
func (h *history) recordReset(entry string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resets[entry] = append(h.resets[entry], time.Now())
}

// recordHeld records that a link to a target holds a request back.
func (h *history) recordHeld(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[id] = true
}

// resetBetween reports whether the network reset a connection of an entry VM to a target between from and
// to. The caller holds mu.
func (h *history) resetBetween(entry string, from, to time.Time) bool {
	return slices.ContainsFunc(h.resets[entry], func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

// endsBetween reports whether a target that started again under its ID ended between from and to.
// The caller holds mu.
func (h *history) endsBetween(instance string, from, to time.Time) bool {
	return slices.ContainsFunc(h.targetEnds[instance], func(t time.Time) bool { return t.After(from) && t.Before(to) })
}

// beginFault records that a fault begins; the returned function records its end.
func (h *history) beginFault(kind, subject string) (end func()) {
	f := &fault{kind: kind, subject: subject, from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, f)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		f.to = time.Now()
	}
}
