package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Kinds of requests. A request's id begins with its kind.
const (
	kindLook  = "look"  // a call that may be repeated
	kindPay   = "pay"   // a call that runs at most once
	kindDraft = "draft" // a stream
	kindMark  = "mark"  // a call on the route that only one configuration has
	kindBad   = "bad"   // a call on a route of a configuration that was refused
	kindNoKey = "nokey" // a call with a key that nobody holds
)

func kindOf(id string) string {
	kind, _, _ := strings.Cut(id, "-")
	return kind
}

// request is what a caller saw of one request.
type request struct {
	id, entry string
	// start numbers the start of the entry VM's process that took it; 0 if another one
	// was started meanwhile.
	start int
	// version is the configuration that has the route, of kindMark.
	version     int
	sent, ended time.Time
	status      int    // 0 without an answer
	signer      string // the target that signed the answer
	body        string
	err         error // why the answer is not whole
	left        bool  // the caller left before the end
	uri         string
}

// whole reports whether the caller got all of an answer.
func (r *request) whole() bool { return r.status != 0 && r.err == nil }

// served reports whether the caller got what it asked for.
func (r *request) served() bool { return r.whole() && r.status == 200 }

// targetRun is one run of a request at a target.
type targetRun struct {
	target       string
	began, ended time.Time // ended is zero while it goes on
}

// declaration is one configuration that the operator sent.
type declaration struct {
	version     int
	document    string
	sent, acked time.Time // acked is zero without a confirmation
}

// reading is one answer to the question for the newest configuration.
type reading struct {
	keeper   string
	sent     time.Time
	version  int
	document string
}

// trouble is what was done to a subject: a process, a target or the list.
type trouble struct {
	kind, subject string
	from, to      time.Time // to is zero while it lasts
}

// history is all that was seen from outside the programs.
type history struct {
	begin time.Time
	print func(string)

	mu           sync.Mutex // guards the fields below
	sent         map[string]bool
	runs         map[string][]*targetRun
	requests     []*request
	answered     map[string]*request
	declarations []*declaration
	refused      map[string]bool // documents that were refused
	readings     []reading
	troubles     []*trouble
	findings     []string
	seen         map[string]bool // findings that were noted, so that each is noted once
}

func newHistory(print func(string)) *history {
	return &history{
		begin: time.Now(), print: print,
		sent: map[string]bool{}, runs: map[string][]*targetRun{}, answered: map[string]*request{},
		refused: map[string]bool{}, seen: map[string]bool{},
	}
}

// at is the time since the start, for findings.
func (h *history) at(t time.Time) string {
	return fmt.Sprintf("%.3fs", t.Sub(h.begin).Seconds())
}

// find notes a broken promise. The caller holds mu.
func (h *history) find(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if h.seen[text] {
		return
	}
	h.seen[text] = true
	h.findings = append(h.findings, text)
	h.print("FINDING " + h.at(time.Now()) + " " + text)
}

// note is find for those that don't hold mu.
func (h *history) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.find(format, args...)
}

// Began implements standin.Watcher.
func (h *history) Began(id, target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if why := h.mustNotRun(id); why != "" {
		h.find("request %s runs at %s: %s", id, target, why)
	}
	h.runs[id] = append(h.runs[id], &targetRun{target: target, began: time.Now()})
}

// mustNotRun returns why a request must not begin to run now, empty if it may.
func (h *history) mustNotRun(id string) string {
	kind := kindOf(id)
	answer := h.answered[id]
	switch {
	case !h.sent[id]:
		return "no caller sent it"
	case kind == kindBad:
		return "its route is of a configuration that was refused"
	case kind == kindNoKey:
		return "nobody holds its key"
	case kind == kindPay && len(h.runs[id]) > 0:
		return "it ran before and must run at most once"
	case kind == kindPay && answer != nil && answer.signer == "" && standin.IsNotRunStatus(answer.status):
		return fmt.Sprintf("it was answered %d, which says that it never runs", answer.status)
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

// sending notes that a caller sends a request from now on.
func (h *history) sending(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[id] = true
}

// answeredWith notes what a caller got, and checks what holds at any moment.
func (h *history) answeredWith(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
	h.answered[r.id] = r
	if why := wrongAnswer(r, h.runs[r.id]); why != "" {
		h.find("request %s at %s: %s", r.id, r.entry, why)
	}
}

// harm notes that a trouble begins; the function that it returns ends it.
func (h *history) harm(kind, subject string) (end func()) {
	t := &trouble{kind: kind, subject: subject, from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.troubles = append(h.troubles, t)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		t.to = time.Now()
	}
}
