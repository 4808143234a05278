package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Time limits of the guarantees, as the deployments state them.
const (
	// settleTime: the limits hold only for what no fault has affected for that long.
	settleTime = 3 * time.Second
	// maxApplyDelay bounds the time until a confirmed configuration is in force on all
	// entry VMs.
	maxApplyDelay = 2 * time.Second
	// regressionTolerance is how long one process may still serve an older
	// configuration after it has served a newer one; faultyRegressionTolerance applies
	// if the process was faulty meanwhile.
	regressionTolerance       = 250 * time.Millisecond
	faultyRegressionTolerance = 2 * time.Second
	// maxLeaveDelay is how long a leaving target may get new requests after the list
	// shows it as leaving.
	maxLeaveDelay = 3 * time.Second
	// unreadTolerance: a connection may be closed under a request that was sent at
	// most that long before and not read yet.
	unreadTolerance = 200 * time.Millisecond
	// resetTolerance is the time from a reset of a connection to a target to the answer 502 that it
	// causes.
	resetTolerance = 100 * time.Millisecond
	// maxCancelDelay is how long targets may continue to work after the caller has
	// gone away.
	maxCancelDelay = 500 * time.Millisecond
	// recoveryTimeout bounds the time from the last fault until all requests are
	// served again.
	recoveryTimeout = 12 * time.Second
	// maxLateRun is how long after the end of a request a target may begin to run it.
	maxLateRun = 500 * time.Millisecond
	// maxOverlap is how long two targets may work on the same stream.
	maxOverlap = 400 * time.Millisecond
	// limitWindow is the time in which a target that names a limit may receive limitFactor
	// times what the limit allows, and limitExtra requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// timingTolerance allows for scheduling delays of the test's own clocks and
	// goroutines.
	timingTolerance = 500 * time.Millisecond
)

// answerViolation returns what is wrong with an answer regardless of any faults, or ""
// if nothing is.
func answerViolation(r *request, runs []*targetRun) string {
	kind := kindOf(r.id)
	switch {
	case r.status == 0:
		return ""
	case r.signer != "" && !slices.ContainsFunc(runs, func(x *targetRun) bool { return x.target == r.signer }):
		return "its answer is signed by " + r.signer + ", which did not run it"
	case r.status == 200 && r.signer == "":
		return "its answer has status 200 and no signature"
	case r.status == 200 && kind == kindStream && r.err == nil && r.body != standin.StreamBody(r.id):
		return "its stream ended without error but has the wrong text: " + excerpt(r.body)
	case r.status == 200 && kind == kindStream && !strings.HasPrefix(standin.StreamBody(r.id), r.body):
		return "its stream has the wrong text: " + excerpt(r.body)
	case r.status == 200 && kind != kindStream && r.err == nil && r.body != standin.CallBody("POST", r.uri, 0):
		return "its answer has the wrong text: " + excerpt(r.body)
	case r.signer != "" && r.status != 200 && r.status != 500:
		return "its signed answer has a status that no target returns"
	case kind == kindNonIdempotent && r.signer == "" && standin.IsNotRunStatus(r.status) && len(runs) > 0:
		return "it was refused as not run, but ran at " + runs[0].target
	case isOneOf(kind, kindIdempotent, kindNonIdempotent, kindStream) && rejectedAsInvalid(r):
		return "it is valid and was rejected as invalid: " + excerpt(r.body)
	case kind == kindUnknownKey && r.status != 401 && !standin.IsNotRunStatus(r.status):
		return "its key is unknown, and it was not refused"
	}
	return ""
}

// rejectedAsInvalid reports whether the system itself rejected the request as invalid.
func rejectedAsInvalid(r *request) bool {
	return r.signer == "" && r.status >= 300 && r.status < 500 && !standin.IsNotRunStatus(r.status)
}

func isOneOf(x string, list ...string) bool { return slices.Contains(list, x) }

func excerpt(body string) string {
	const maxLength = 120
	if len(body) > maxLength {
		body = body[:maxLength] + "…"
	}
	return strings.ReplaceAll(body, "\n", "|")
}

// faultFree reports whether no matching fault was active between settleTime before
// from and to. The caller holds mu.
func (h *history) faultFree(from, to time.Time, match func(f *fault) bool) bool {
	return !slices.ContainsFunc(h.faults, func(f *fault) bool {
		return match(f) && f.from.Before(to) && (f.to.IsZero() || f.to.Add(settleTime).After(from))
	})
}

// onSubjects matches the faults of the given subjects.
func onSubjects(subjects ...string) func(f *fault) bool {
	return func(f *fault) bool { return slices.Contains(subjects, f.subject) }
}

// onProcess matches the faults of an entry VM's process and of its link to callers. A cut from
// targets leaves both intact.
func onProcess(entry string) func(f *fault) bool {
	return func(f *fault) bool { return f.subject == entry && !isCut(f.kind) }
}

// onControlPath matches the faults that can keep an entry VM from receiving its
// configuration.
func onControlPath(entry string) func(f *fault) bool {
	process := onProcess(entry)
	return func(f *fault) bool { return process(f) || strings.HasPrefix(f.subject, "keeper") }
}

// onAnyVM matches the faults that can keep a VM from knowing what the others know, or delay its
// requests to targets. Of the cuts, only one that holds bytes back does.
func onAnyVM(f *fault) bool {
	isVM := strings.HasPrefix(f.subject, "entry") || strings.HasPrefix(f.subject, "keeper")
	return isVM && (!isCut(f.kind) || f.kind == cutHang)
}

// onServing matches the faults that can keep an entry VM from serving requests. A cut of another
// VM doesn't.
func onServing(entry string) func(f *fault) bool {
	return func(f *fault) bool { return !isCut(f.kind) || f.subject == entry }
}

// checkAll checks the guarantees that need the whole history.
func (h *history) checkAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkServedWithoutFaults()
	h.checkAnswered()
	h.checkApplied()
	h.checkNoRegression()
	h.checkReads()
	h.checkLeavingTargets()
	h.checkAnnouncedTargets()
	h.checkCancelled()
	h.checkNotRunLater()
	h.checkOverlaps()
	h.checkLimits()
}

// checkServedWithoutFaults checks that every valid request is served while there are
// no faults.
func (h *history) checkServedWithoutFaults() {
	for _, r := range h.requests {
		if !isOneOf(kindOf(r.id), kindIdempotent, kindNonIdempotent, kindStream) || r.cancelled || r.served() {
			continue
		}
		if h.faultFree(r.sent.Add(-settleTime), r.ended, onServing(r.entry)) {
			h.addViolationLocked("request %s at %s, sent at %s, was not served although there was no fault: status %d, %v", r.id, r.entry, h.elapsed(r.sent), r.status, r.err)
		}
	}
}

// checkAnswered checks that a process answers each request whatever happens at targets, control
// VMs and other entry VMs, and within the time that the request allows.
func (h *history) checkAnswered() {
	for _, r := range h.requests {
		timeout := callTimeout
		if kindOf(r.id) == kindStream {
			timeout = streamTimeout
		}
		left := r.cancelled && r.ended.Sub(r.sent) < timeout
		if r.status == 0 && !left && h.faultFree(r.sent, r.ended, onProcess(r.entry)) {
			h.addViolationLocked("request %s at %s, sent at %s, got no answer: %v", r.id, r.entry, h.elapsed(r.sent), r.err)
		}
	}
}

// newestConfirmed returns the newest confirmed configuration, or nil.
func (h *history) newestConfirmed() *declaration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestConfirmedBefore(time.Now())
}

// newestConfirmedBefore returns the newest configuration that was confirmed before t,
// or nil. The caller holds mu.
func (h *history) newestConfirmedBefore(t time.Time) *declaration {
	var newest *declaration
	for _, d := range h.declarations {
		if !d.acked.IsZero() && d.acked.Before(t) && (newest == nil || d.version > newest.version) {
			newest = d
		}
	}
	return newest
}

// newerSentBefore reports whether a configuration of a higher version was sent before
// t.
func (h *history) newerSentBefore(version int, t time.Time) bool {
	return slices.ContainsFunc(h.declarations, func(d *declaration) bool { return d.version > version && d.sent.Before(t) })
}

// isOnlyOfVersion reports whether no other configuration was sent under the same
// version. If two configurations race under one version, the later one is confirmed
// too but has no effect.
func (h *history) isOnlyOfVersion(d *declaration) bool {
	return !slices.ContainsFunc(h.declarations, func(x *declaration) bool { return x != d && x.version == d.version })
}

// checkApplied checks that a confirmed configuration is in force on all entry VMs
// within maxApplyDelay.
func (h *history) checkApplied() {
	for _, r := range h.requests {
		if kindOf(r.id) != kindMarker || !h.faultFree(r.sent, r.ended, onControlPath(r.entry)) {
			continue
		}
		acked := h.newestConfirmedBefore(r.sent.Add(-maxApplyDelay))
		switch {
		case acked == nil:
		case r.signer != "" && r.version < acked.version:
			h.addViolationLocked("request %s at %s, sent at %s, was served by version %d; %d was confirmed at %s", r.id, r.entry, h.elapsed(r.sent), r.version, acked.version, h.elapsed(acked.acked))
		case r.status == 404 && r.version == acked.version && h.isOnlyOfVersion(acked) && !h.newerSentBefore(r.version, r.ended):
			h.addViolationLocked("request %s at %s, sent at %s, found no route; version %d was confirmed at %s", r.id, r.entry, h.elapsed(r.sent), acked.version, h.elapsed(acked.acked))
		}
	}
}

// checkNoRegression checks that no process goes back to an older configuration.
func (h *history) checkNoRegression() {
	for _, newer := range h.requests {
		if kindOf(newer.id) != kindMarker || newer.signer == "" || newer.processStart == 0 {
			continue
		}
		for _, r := range h.requests {
			if r.entry != newer.entry || r.processStart != newer.processStart || kindOf(r.id) != kindMarker || r.signer == "" || r.version >= newer.version {
				continue
			}
			tolerance := regressionTolerance
			if !h.faultFree(newer.ended, r.ended, onProcess(r.entry)) {
				tolerance = faultyRegressionTolerance
			}
			if r.sent.After(newer.ended.Add(tolerance)) {
				h.addViolationLocked("request %s at %s, sent at %s, was served by version %d; the same process had served version %d by %s", r.id, r.entry, h.elapsed(r.sent), r.version, newer.version, h.elapsed(newer.ended))
			}
		}
	}
}

// checkReads checks that each configuration read from a control VM was sent and not
// rejected, that each version has only one document, and that no read returns a
// version older than one confirmed before it.
func (h *history) checkReads() {
	documents := map[int]string{}
	for _, r := range h.reads {
		if acked := h.newestConfirmedBefore(r.sent); acked != nil && r.version < acked.version {
			h.addViolationLocked("%s returned version %d at %s; %d was confirmed at %s", r.keeper, r.version, h.elapsed(r.sent), acked.version, h.elapsed(acked.acked))
		}
		sent := slices.ContainsFunc(h.declarations, func(d *declaration) bool { return d.document == r.document })
		if !sent || h.refused[r.document] {
			h.addViolationLocked("%s returned version %d with a document that was not sent or was refused", r.keeper, r.version)
		}
		if first, ok := documents[r.version]; ok && first != r.document {
			h.addViolationLocked("two documents were read as version %d", r.version)
		}
		documents[r.version] = r.document
	}
}

// checkLeavingTargets checks that a leaving target gets no new requests after
// maxLeaveDelay, until it starts again under its ID.
func (h *history) checkLeavingTargets() {
	for _, f := range h.faults {
		if f.kind != faultLeave && f.kind != faultRestart {
			continue
		}
		limit := f.from.Add(maxLeaveDelay + timingTolerance)
		for id, runs := range h.runs {
			for _, r := range runs {
				if r.target != f.subject || r.began.Before(limit) || h.endsBetween(f.subject, f.from, r.began) {
					continue
				}
				if h.faultFree(f.from, r.began, func(x *fault) bool { return onAnyVM(x) || x.kind == faultList }) {
					h.addViolationLocked("request %s began to run at %s at %s; the list shows the target as leaving since %s", id, r.target, h.elapsed(r.began), h.elapsed(f.from))
				}
			}
		}
	}
}

// checkAnnouncedTargets checks that a target gets no requests from an entry VM that were sent later than
// maxLeaveDelay after the VM has passed on a response in which the target stated that it leaves, until it starts
// again under its ID.
func (h *history) checkAnnouncedTargets() {
	for _, f := range h.faults {
		if f.kind != faultAnnounce {
			continue
		}
		known := h.announcedTo(f)
		for _, r := range h.requests {
			at, ok := known[r.entry]
			if !ok || !r.sent.After(at.Add(maxLeaveDelay+timingTolerance)) {
				continue
			}
			for _, x := range h.runs[r.id] {
				if x.target == f.subject && !h.endsBetween(f.subject, f.from, x.began) && h.faultFree(at, x.began, onProcess(r.entry)) {
					h.addViolationLocked("request %s, sent to %s at %s, began to run at %s, which had stated that it leaves in a response of %s", r.id, r.entry, h.elapsed(r.sent), x.target, h.elapsed(at))
				}
			}
		}
	}
}

// announcedTo returns when each entry VM had passed on a response of the target in a fault of the kind
// faultAnnounce.
func (h *history) announcedTo(f *fault) map[string]time.Time {
	known := map[string]time.Time{}
	for _, r := range h.requests {
		for _, x := range h.runs[r.id] {
			if x.target != f.subject || r.signer != x.target || !x.began.After(f.from) || h.endsBetween(f.subject, f.from, x.began) {
				continue
			}
			if at, ok := known[r.entry]; !ok || r.ended.Before(at) {
				known[r.entry] = r.ended
			}
		}
	}
	return known
}

// checkNotRunLater checks that no target begins to run a request maxLateRun after its caller was answered or has
// gone away. Only a faulty VM, or a faulty helper of a VM that is cut, may send it so late: what a link to a target
// holds back was given up. Earlier builds close such connections and don't reset them.
func (h *history) checkNotRunLater() {
	if h.earlierBuilds {
		return
	}
	for _, r := range h.answers {
		for _, x := range h.runs[r.id] {
			isCutOff := !h.faultFree(r.sent, x.began, func(f *fault) bool { return f.subject == r.entry && isCut(f.kind) })
			maySendLate := func(f *fault) bool {
				return onProcess(r.entry)(f) || isCutOff && strings.HasPrefix(f.subject, "entry") && !isCut(f.kind)
			}
			if x.began.After(r.ended.Add(maxLateRun)) && h.faultFree(r.sent, x.began, maySendLate) {
				h.addViolationLocked("request %s at %s, which ended at %s, began to run at %s at %s", r.id, r.entry, h.elapsed(r.ended), x.target, h.elapsed(x.began))
			}
		}
	}
}

// checkCancelled checks that targets stop working on a request within maxCancelDelay
// after its caller has gone away.
func (h *history) checkCancelled() {
	for _, r := range h.requests {
		if !r.cancelled {
			continue
		}
		limit := r.ended.Add(maxCancelDelay + timingTolerance)
		for _, x := range h.runs[r.id] {
			busy := x.ended.IsZero() || x.ended.After(limit)
			if busy && h.faultFree(r.sent, limit, onSubjects(r.entry, x.target)) {
				h.addViolationLocked("request %s at %s: its caller went away at %s, and %s still works on it", r.id, r.entry, h.elapsed(r.ended), x.target)
			}
		}
	}
}

// checkOverlaps checks that a stream continues at another target only after the
// previous run has ended.
func (h *history) checkOverlaps() {
	for _, r := range h.requests {
		runs := h.runs[r.id]
		for i := 1; i < len(runs) && kindOf(r.id) == kindStream; i++ {
			before, limit := runs[i-1], runs[i].began.Add(maxOverlap+timingTolerance)
			if !before.ended.IsZero() && before.ended.Before(limit) || !runs[i].ended.IsZero() && runs[i].ended.Before(limit) {
				continue
			}
			if h.faultFree(r.sent, limit, onSubjects(r.entry, before.target)) {
				h.addViolationLocked("request %s runs at %s while %s still works on it", r.id, runs[i].target, before.target)
			}
		}
	}
}

// checkLimits checks that a target that names a limit doesn't receive more from all entry VMs
// together, from settleTime after it first named the limit. Faults that match onAnyVM excuse it.
func (h *history) checkLimits() {
	for _, l := range h.limits {
		allowed := limitFactor*l.rate*limitWindow.Seconds() + limitExtra
		for i, begin := range l.received {
			if begin.Before(l.from.Add(settleTime + timingTolerance)) {
				continue
			}
			n := 0
			for _, at := range l.received[i:] {
				if at.Sub(begin) < limitWindow && at.Before(l.to) {
					n++
				}
			}
			mayHold := func(f *fault) bool {
				return onAnyVM(f) || f.subject == l.target && f.kind != faultLimit
			}
			if float64(n) > allowed && h.faultFree(begin.Add(-settleTime), begin.Add(limitWindow), mayHold) {
				h.addViolationLocked("%s, which names a limit of %.1f requests a second, received %d in %v from %s on; allowed %.0f", l.target, l.rate, n, limitWindow, h.elapsed(begin), allowed)
			}
		}
	}
}

// checkGracefulStop checks that a process that stops gracefully does not interrupt
// requests that it has read. It was told to stop at from and had exited at to. The
// caller must not hold mu.
func (h *history) checkGracefulStop(entry string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.faultFree(from, to, func(f *fault) bool { return onProcess(entry)(f) && f.kind != faultStop }) {
		return
	}
	for _, r := range h.requests {
		unknown := r.signer == "" && (r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout)
		if r.entry != entry || r.cancelled || r.whole() && !unknown || r.ended.Before(from) || r.sent.After(to) {
			continue
		}
		runs := h.runs[r.id]
		faulty := slices.ContainsFunc(runs, func(x *targetRun) bool {
			return !h.faultFree(r.sent, r.ended, onSubjects(x.target))
		})
		cut := r.status != 0 && !h.faultFree(r.sent, r.ended, func(f *fault) bool { return f.subject == entry && isCut(f.kind) })
		reset := r.status == http.StatusBadGateway && len(runs) == 0 && h.resetBetween(entry, r.ended.Add(-resetTolerance), r.ended)
		held := r.status == http.StatusGatewayTimeout && len(runs) == 0 && h.held[r.id]
		read := len(runs) > 0 || r.ended.Sub(r.sent) > unreadTolerance+timingTolerance
		if read && !faulty && !cut && !reset && !held {
			h.addViolationLocked("request %s at %s, sent at %s, was interrupted by a graceful stop that began at %s: status %d, %v", r.id, entry, h.elapsed(r.sent), h.elapsed(from), r.status, r.err)
		}
	}
}
