package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// Bounds of the promises. They are those of the deployments.
const (
	// settleTime: bounds hold for what was not harmed for that long.
	settleTime = 3 * time.Second
	// applyTime is how long a confirmed configuration may take to be in force everywhere.
	applyTime = 2 * time.Second
	// regressTime: in one process, an older configuration may show that long after a
	// newer one; stalledRegressTime if the process was harmed.
	regressTime        = 250 * time.Millisecond
	stalledRegressTime = 2 * time.Second
	// leaveTime is how long a leaving target may get requests after the list shows it.
	leaveTime = 3 * time.Second
	// unreadTime: a request that was not read may be cut that soon after it was sent.
	unreadTime = 200 * time.Millisecond
	// cancelTime is how long targets may work on after the caller left.
	cancelTime = 500 * time.Millisecond
	// recoverTime is how long after the last trouble all must be served again.
	recoverTime = 12 * time.Second
	// overlapTime is how long two targets may work on one stream.
	overlapTime = 400 * time.Millisecond
	// measureSlack is added where our own clocks and goroutines may be late.
	measureSlack = 500 * time.Millisecond
)

// wrongAnswer returns what is wrong with an answer whatever happened to the system,
// empty if nothing is.
func wrongAnswer(r *request, runs []*targetRun) string {
	kind := kindOf(r.id)
	switch {
	case r.status == 0:
		return ""
	case r.signer != "" && !slices.ContainsFunc(runs, func(x *targetRun) bool { return x.target == r.signer }):
		return "its answer bears the signature of " + r.signer + ", which did not run it"
	case r.status == 200 && r.signer == "":
		return "its success bears no signature"
	case r.status == 200 && kind == kindDraft && r.err == nil && r.body != standin.StreamBody(r.id):
		return "its stream is whole, but not its own: " + quote(r.body)
	case r.status == 200 && kind == kindDraft && !strings.HasPrefix(standin.StreamBody(r.id), r.body):
		return "its stream is not its own: " + quote(r.body)
	case r.status == 200 && kind != kindDraft && r.err == nil && r.body != standin.CallBody("POST", r.uri, 0):
		return "its answer is not its own: " + quote(r.body)
	case r.signer != "" && r.status != 200 && r.status != 500:
		return "a target's failure has another status than the target gave"
	case kind == kindPay && r.signer == "" && standin.IsNotRunStatus(r.status) && len(runs) > 0:
		return "it was refused as not run, but ran at " + runs[0].target
	case isOneOf(kind, kindLook, kindPay, kindDraft) && refusedAsWrong(r):
		return "it is proper and was refused as wrong: " + quote(r.body)
	case kind == kindNoKey && r.status != 401 && !standin.IsNotRunStatus(r.status):
		return "nobody holds its key, and it was not refused"
	}
	return ""
}

// refusedAsWrong reports whether the system says that the request itself is wrong.
func refusedAsWrong(r *request) bool {
	return r.signer == "" && r.status >= 300 && r.status < 500 && !standin.IsNotRunStatus(r.status)
}

func isOneOf(x string, list ...string) bool { return slices.Contains(list, x) }

func quote(body string) string {
	const most = 120
	if len(body) > most {
		body = body[:most] + "…"
	}
	return strings.ReplaceAll(body, "\n", "|")
}

// calm reports whether no trouble that matches lasted from a while before from until
// to. The caller holds mu.
func (h *history) calm(from, to time.Time, match func(t *trouble) bool) bool {
	return !slices.ContainsFunc(h.troubles, func(t *trouble) bool {
		return match(t) && t.from.Before(to) && (t.to.IsZero() || t.to.Add(settleTime).After(from))
	})
}

// of matches troubles of the subjects.
func of(subjects ...string) func(t *trouble) bool {
	return func(t *trouble) bool { return slices.Contains(subjects, t.subject) }
}

// control matches the troubles that keep an entry VM from learning its configuration.
func control(entry string) func(t *trouble) bool {
	return func(t *trouble) bool { return t.subject == entry || strings.HasPrefix(t.subject, "keeper") }
}

func anything(*trouble) bool { return true }

// check looks at the whole history.
func (h *history) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkServedInCalm()
	h.checkInForce()
	h.checkNoRegress()
	h.checkReadings()
	h.checkLeaving()
	h.checkCancelled()
	h.checkOverlaps()
}

// checkServedInCalm: where nothing is harmed, every request is served.
func (h *history) checkServedInCalm() {
	for _, r := range h.requests {
		if !isOneOf(kindOf(r.id), kindLook, kindPay, kindDraft) || r.left || r.served() {
			continue
		}
		if h.calm(r.sent.Add(-settleTime), r.ended, anything) {
			h.find("request %s at %s, sent at %s, is not served though nothing is harmed: status %d, %v", r.id, r.entry, h.at(r.sent), r.status, r.err)
		}
	}
}

// confirmed returns the newest configuration that was confirmed, nil for none.
func (h *history) confirmed() *declaration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestAcked(time.Now())
}

// newestAcked returns the newest configuration that was confirmed before t, nil for none.
// The caller holds mu.
func (h *history) newestAcked(t time.Time) *declaration {
	var newest *declaration
	for _, d := range h.declarations {
		if !d.acked.IsZero() && d.acked.Before(t) && (newest == nil || d.version > newest.version) {
			newest = d
		}
	}
	return newest
}

// higherSent reports whether a configuration above the version was sent before t.
func (h *history) higherSent(version int, t time.Time) bool {
	return slices.ContainsFunc(h.declarations, func(d *declaration) bool { return d.version > version && d.sent.Before(t) })
}

// only reports whether no other configuration was sent under the declaration's version.
// Of two that race, the one that is too late is confirmed as well and changes nothing.
func (h *history) only(d *declaration) bool {
	return !slices.ContainsFunc(h.declarations, func(x *declaration) bool { return x != d && x.version == d.version })
}

// checkInForce: a configuration is in force soon after it was confirmed.
func (h *history) checkInForce() {
	for _, r := range h.requests {
		if kindOf(r.id) != kindMark || !h.calm(r.sent, r.ended, control(r.entry)) {
			continue
		}
		acked := h.newestAcked(r.sent.Add(-applyTime))
		switch {
		case acked == nil:
		case r.signer != "" && r.version < acked.version:
			h.find("request %s at %s, sent at %s, is served by version %d; %d was confirmed at %s", r.id, r.entry, h.at(r.sent), r.version, acked.version, h.at(acked.acked))
		case r.status == 404 && r.version == acked.version && h.only(acked) && !h.higherSent(r.version, r.ended):
			h.find("request %s at %s, sent at %s, has no route; version %d was confirmed at %s", r.id, r.entry, h.at(r.sent), acked.version, h.at(acked.acked))
		}
	}
}

// checkNoRegress: one process never goes back to an older configuration.
func (h *history) checkNoRegress() {
	for _, newer := range h.requests {
		if kindOf(newer.id) != kindMark || newer.signer == "" || newer.start == 0 {
			continue
		}
		for _, r := range h.requests {
			if r.entry != newer.entry || r.start != newer.start || kindOf(r.id) != kindMark || r.signer == "" || r.version >= newer.version {
				continue
			}
			slack := regressTime
			if !h.calm(newer.ended, r.ended, of(r.entry)) {
				slack = stalledRegressTime
			}
			if r.sent.After(newer.ended.Add(slack)) {
				h.find("request %s at %s, sent at %s, is served by version %d; the same process served version %d by %s", r.id, r.entry, h.at(r.sent), r.version, newer.version, h.at(newer.ended))
			}
		}
	}
}

// checkReadings: what is read back was sent and not refused, is one document for each
// version, and is not older than what was confirmed before.
func (h *history) checkReadings() {
	documents := map[int]string{}
	for _, r := range h.readings {
		if acked := h.newestAcked(r.sent); acked != nil && r.version < acked.version {
			h.find("%s answers version %d at %s; %d was confirmed at %s", r.keeper, r.version, h.at(r.sent), acked.version, h.at(acked.acked))
		}
		sent := slices.ContainsFunc(h.declarations, func(d *declaration) bool { return d.document == r.document })
		if !sent || h.refused[r.document] {
			h.find("%s answers version %d with a document that was not sent or was refused", r.keeper, r.version)
		}
		if first, ok := documents[r.version]; ok && first != r.document {
			h.find("two documents were read as version %d", r.version)
		}
		documents[r.version] = r.document
	}
}

// checkLeaving: a target that leaves gets nothing new after a while.
func (h *history) checkLeaving() {
	for _, t := range h.troubles {
		if t.kind != troubleLeave {
			continue
		}
		limit := t.from.Add(leaveTime + measureSlack)
		for id, runs := range h.runs {
			for _, r := range runs {
				if r.target != t.subject || r.began.Before(limit) {
					continue
				}
				if h.calm(t.from, r.began, func(x *trouble) bool { return !strings.HasPrefix(x.subject, "target") }) {
					h.find("request %s runs at %s at %s; the list shows it as leaving since %s", id, r.target, h.at(r.began), h.at(t.from))
				}
			}
		}
	}
}

// checkCancelled: targets end work soon after the caller left.
func (h *history) checkCancelled() {
	for _, r := range h.requests {
		if !r.left {
			continue
		}
		limit := r.ended.Add(cancelTime + measureSlack)
		for _, x := range h.runs[r.id] {
			busy := x.ended.IsZero() || x.ended.After(limit)
			if busy && h.calm(r.sent, limit, of(r.entry, x.target)) {
				h.find("request %s at %s: its caller left at %s, and %s still works on it", r.id, r.entry, h.at(r.ended), x.target)
			}
		}
	}
}

// checkOverlaps: a stream goes on at another target only when the one before has ended.
func (h *history) checkOverlaps() {
	for _, r := range h.requests {
		runs := h.runs[r.id]
		for i := 1; i < len(runs) && kindOf(r.id) == kindDraft; i++ {
			before, limit := runs[i-1], runs[i].began.Add(overlapTime+measureSlack)
			if !before.ended.IsZero() && before.ended.Before(limit) || !runs[i].ended.IsZero() && runs[i].ended.Before(limit) {
				continue
			}
			if h.calm(r.sent, limit, of(r.entry, before.target)) {
				h.find("request %s runs at %s while %s still works on it", r.id, runs[i].target, before.target)
			}
		}
	}
}

// checkStop: a process that stops in order cuts nothing that it has read. From is when
// it was told to, to is when it was gone. The caller doesn't hold mu.
func (h *history) checkStop(entry string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.calm(from, to, func(t *trouble) bool { return t.subject == entry && t.kind != troubleStop }) {
		return
	}
	for _, r := range h.requests {
		unknown := r.signer == "" && (r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout)
		if r.entry != entry || r.left || r.whole() && !unknown || r.ended.Before(from) || r.sent.After(to) {
			continue
		}
		runs := h.runs[r.id]
		harmed := slices.ContainsFunc(runs, func(x *targetRun) bool {
			return !h.calm(r.sent, r.ended, of(x.target))
		})
		read := len(runs) > 0 || r.ended.Sub(r.sent) > unreadTime+measureSlack
		if read && !harmed {
			h.find("request %s at %s, sent at %s, is cut by a stop that began at %s: status %d, %v", r.id, entry, h.at(r.sent), h.at(from), r.status, r.err)
		}
	}
}
