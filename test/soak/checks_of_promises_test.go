package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// scriptedHistory is a history written by a test. Times are in seconds.
type scriptedHistory struct {
	*history
}

func newScriptedHistory() scriptedHistory {
	h := scriptedHistory{newHistory(func(string) {})}
	h.begin = time.Unix(1_000_000, 0)
	return h
}

func (h scriptedHistory) secondAt(s float64) time.Time {
	return h.begin.Add(time.Duration(s * float64(time.Second)))
}

// addRequest adds a request to entry 1 that lasted from one second to another.
func (h scriptedHistory) addRequest(id string, from, to float64, change func(r *request)) *request {
	r := &request{id: id, entry: "entry 1", processStart: 1, uri: "/look/x", sent: h.secondAt(from), ended: h.secondAt(to)}
	change(r)
	h.sentIDs[id] = true
	h.requests = append(h.requests, r)
	return r
}

func (h scriptedHistory) addRun(id, target string, from, to float64) {
	r := &targetRun{target: target, began: h.secondAt(from)}
	if to > 0 {
		r.ended = h.secondAt(to)
	}
	h.runs[id] = append(h.runs[id], r)
}

func (h scriptedHistory) addFault(kind, subject string, from, to float64) {
	h.faults = append(h.faults, &fault{kind: kind, subject: subject, from: h.secondAt(from), to: h.secondAt(to)})
}

// addLimit adds a target that names a limit from second 10 to second 30 and receives 18 requests
// from one second on.
func (h scriptedHistory) addLimit(rate, from float64) {
	l := namedLimit{target: "target 1", rate: rate, from: h.secondAt(10), to: h.secondAt(30)}
	for i := range 18 {
		l.received = append(l.received, h.secondAt(from+float64(i)/10))
	}
	h.limits = append(h.limits, l)
}

// addAnnounced adds a target that states from second 10 on that it leaves, a response that says so, and a request
// sent at a second. The target ends at another second, unless that is 0.
func (h scriptedHistory) addAnnounced(sent, ended float64) {
	h.addFault(faultAnnounce, "target 1", 10, 15)
	h.addRequest("look-1", 10.1, 10.2, setServed(0))
	h.addRun("look-1", "target 1", 10.1, 10.2)
	h.addRequest("look-2", sent, sent+0.2, setServed(0))
	h.addRun("look-2", "target 1", sent+0.1, sent+0.2)
	if ended > 0 {
		h.targetEnds["target 1"] = []time.Time{h.secondAt(ended)}
	}
}

// addRunAfterAnswer adds a request that was answered at second 11, and its run from a second to another.
func (h scriptedHistory) addRunAfterAnswer(begin, end float64) {
	h.answers["look-1"] = h.addRequest("look-1", 10, 11, setStatus(504))
	h.addRun("look-1", "target 1", begin, end)
}

func (h scriptedHistory) addDeclaration(version int, sent, acked float64) {
	x := &declaration{version: version, document: standin.Declaration{Version: version}.Document(), sent: h.secondAt(sent)}
	if acked > 0 {
		x.acked = h.secondAt(acked)
	}
	h.declarations = append(h.declarations, x)
}

func setServed(version int) func(r *request) {
	return func(r *request) {
		r.version, r.status, r.signer, r.body = version, http.StatusOK, "target 1", standin.CallBody("POST", "/look/x", 0)
	}
}

func setStatus(code int) func(r *request) { return func(r *request) { r.status = code } }

func setAborted(r *request) { r.err = http.ErrAbortHandler }

// TestChecksDetectViolations has a history that violates each guarantee and a similar
// one that does not.
func TestChecksDetectViolations(t *testing.T) {
	for name, c := range map[string]struct {
		write func(h scriptedHistory)
		found string // part of the violation; empty for none
	}{
		"not served without faults": {func(h scriptedHistory) { h.addRequest("look-1", 10, 11, setStatus(503)) }, "not served although there was no fault"},
		"not served during a fault": {func(h scriptedHistory) {
			h.addRequest("look-1", 10, 11, setStatus(503))
			h.addFault(faultKill, "entry 1", 9, 9.5)
		}, ""},
		"not served long after a fault": {func(h scriptedHistory) {
			h.addRequest("look-1", 20, 21, setStatus(503))
			h.addFault(faultKill, "entry 1", 9, 9.5)
		}, "not served although there was no fault"},
		"not served while another VM is cut": {func(h scriptedHistory) {
			h.addRequest("look-1", 10, 11, setStatus(503))
			h.addFault(cutReset, "entry 2", 9, 12)
		}, "not served although there was no fault"},
		"not served while its VM is cut": {func(h scriptedHistory) {
			h.addRequest("look-1", 10, 11, setStatus(503))
			h.addFault(cutReset, "entry 1", 9, 12)
		}, ""},
		"a payment unknown while its VM is cut": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 11, setStatus(502))
			h.addRun("pay-1", "target 1", 10, 10.5)
			h.addFault(cutHang, "entry 1", 9, 12)
		}, ""},
		"no answer while its VM is cut": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 11, setAborted)
			h.addFault(cutHang, "entry 1", 9, 12)
		}, "got no answer"},
		"no answer in time while its VM is cut": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 13, func(r *request) { setAborted(r); r.cancelled = true })
			h.addFault(cutHang, "entry 1", 9, 12)
		}, "got no answer"},
		"no answer while its VM is paused": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 11, setAborted)
			h.addFault(faultPause, "entry 1", 9, 12)
		}, ""},
		"no answer for a caller who left while its VM is cut": {func(h scriptedHistory) {
			h.addRequest("draft-1", 10, 10.5, func(r *request) { setAborted(r); r.cancelled = true })
			h.addFault(cutHang, "entry 1", 9, 12)
		}, ""},
		"an old configuration while its VM is cut": {func(h scriptedHistory) {
			h.addDeclaration(1, 1, 2)
			h.addDeclaration(2, 3, 4)
			h.addRequest("mark-1", 7, 7.1, setServed(1))
			h.addFault(cutHang, "entry 1", 5, 8)
		}, "was served by version 1; 2 was confirmed"},
		"back to an older configuration while its VM is cut": {func(h scriptedHistory) {
			h.addRequest("mark-1", 7, 7.1, setServed(5))
			h.addRequest("mark-2", 7.5, 7.6, setServed(4))
			h.addFault(cutReset, "entry 1", 6, 8)
		}, "the same process had served version 5"},
		"a target gets more requests than it names while a VM is cut without held bytes": {func(h scriptedHistory) {
			h.addLimit(2, 14)
			h.addFault(cutRefuse, "entry 2", 12, 13)
		}, "names a limit of 2.0 requests a second, received 18"},
		"a target gets more requests than it names after bytes were held": {func(h scriptedHistory) {
			h.addLimit(2, 14)
			h.addFault(cutHang, "entry 2", 12, 13)
		}, ""},
		"a leaving target gets new requests while a VM is cut without held bytes": {func(h scriptedHistory) {
			h.addFault(faultLeave, "target 1", 10, 15)
			h.addFault(cutReset, "entry 1", 10, 12)
			h.addRun("look-1", "target 1", 14, 14.1)
		}, "shows the target as leaving"},
		"a leaving target gets requests that were held": {func(h scriptedHistory) {
			h.addFault(faultLeave, "target 1", 10, 15)
			h.addFault(cutHang, "entry 1", 10, 12)
			h.addRun("look-1", "target 1", 14, 14.1)
		}, ""},
		"work continues after the caller of a cut VM went away": {func(h scriptedHistory) {
			h.addRequest("draft-1", 10, 11, func(r *request) { r.cancelled = true })
			h.addRun("draft-1", "target 1", 10, 14)
			h.addFault(cutHang, "entry 1", 10.5, 14)
		}, ""},
		"an old configuration": {func(h scriptedHistory) {
			h.addDeclaration(1, 1, 2)
			h.addDeclaration(2, 3, 4)
			h.addRequest("mark-1", 7, 7.1, setServed(1))
		}, "was served by version 1; 2 was confirmed"},
		"an old configuration soon after the change": {func(h scriptedHistory) {
			h.addDeclaration(1, 1, 2)
			h.addDeclaration(2, 3, 4)
			h.addRequest("mark-1", 5, 5.1, setServed(1))
		}, ""},
		"an old configuration while a control VM is faulty": {func(h scriptedHistory) {
			h.addDeclaration(1, 1, 2)
			h.addDeclaration(2, 3, 4)
			h.addRequest("mark-1", 7, 7.1, setServed(1))
			h.addFault(faultPause, "keeper 2", 5, 5.5)
		}, ""},
		"no route of the newest configuration": {func(h scriptedHistory) {
			h.addDeclaration(2, 3, 4)
			h.addRequest("mark-1", 7, 7.1, func(r *request) { r.version, r.status = 2, 404 })
		}, "found no route; version 2 was confirmed"},
		"no route of the configuration that lost a race": {func(h scriptedHistory) {
			h.addDeclaration(2, 3, 4)
			h.addDeclaration(2, 3, 4)
			h.addRequest("mark-1", 7, 7.1, func(r *request) { r.version, r.status = 2, 404 })
		}, ""},
		"back to an older configuration": {func(h scriptedHistory) {
			h.addRequest("mark-1", 7, 7.1, setServed(5))
			h.addRequest("mark-2", 7.5, 7.6, setServed(4))
		}, "the same process had served version 5"},
		"an older configuration in another process": {func(h scriptedHistory) {
			h.addRequest("mark-1", 7, 7.1, setServed(5))
			h.addRequest("mark-2", 7.5, 7.6, func(r *request) { setServed(4)(r); r.processStart = 2 })
		}, ""},
		"an older configuration at about the same time": {func(h scriptedHistory) {
			h.addRequest("mark-1", 7, 7.1, setServed(5))
			h.addRequest("mark-2", 7.2, 7.3, setServed(4))
		}, ""},
		"an outdated read": {func(h scriptedHistory) {
			h.addDeclaration(2, 3, 4)
			h.addDeclaration(1, 1, 2)
			h.reads = append(h.reads, configRead{keeper: "keeper 1", sent: h.secondAt(5), version: 1, document: standin.Declaration{Version: 1}.Document()})
		}, "returned version 1"},
		"a read of a refused document": {func(h scriptedHistory) {
			h.addDeclaration(1, 1, 0)
			document := standin.Declaration{Version: 1}.Document()
			h.refused[document] = true
			h.reads = append(h.reads, configRead{keeper: "keeper 1", sent: h.secondAt(5), version: 1, document: document})
		}, "was not sent or was refused"},
		"two documents of one version": {func(h scriptedHistory) {
			h.declarations = append(h.declarations, &declaration{version: 1, document: "a"}, &declaration{version: 1, document: "b"})
			h.reads = append(h.reads, configRead{version: 1, document: "a"}, configRead{version: 1, document: "b"})
		}, "two documents were read as version 1"},
		"a target gets more requests than it names":                     {func(h scriptedHistory) { h.addLimit(2, 14) }, "names a limit of 2.0 requests a second, received 18"},
		"a target gets more requests than it names before all VMs know": {func(h scriptedHistory) { h.addLimit(2, 11) }, ""},
		"a target gets more requests than it names while a VM is faulty": {func(h scriptedHistory) {
			h.addLimit(2, 14)
			h.addFault(faultPause, "entry 2", 12, 13)
		}, ""},
		"a target gets what it names": {func(h scriptedHistory) { h.addLimit(3, 14) }, ""},
		"a leaving target gets new requests": {func(h scriptedHistory) {
			h.addFault(faultLeave, "target 1", 10, 15)
			h.addRun("look-1", "target 1", 14, 14.1)
		}, "shows the target as leaving"},
		"a target gets requests after it has started again under its ID": {func(h scriptedHistory) {
			h.addFault(faultRestart, "target 1", 10, 15)
			h.targetEnds["target 1"] = []time.Time{h.secondAt(13.6)}
			h.addRun("look-1", "target 1", 14, 14.1)
		}, ""},
		"a target that drains again under its ID gets new requests": {func(h scriptedHistory) {
			h.addFault(faultRestart, "target 1", 0, 5)
			h.targetEnds["target 1"] = []time.Time{h.secondAt(3.6)}
			h.addFault(faultRestart, "target 1", 10, 15)
			h.addRun("look-1", "target 1", 14, 14.1)
		}, "shows the target as leaving"},
		"a leaving target gets new requests while the list is down": {func(h scriptedHistory) {
			h.addFault(faultLeave, "target 1", 10, 15)
			h.addFault(faultList, "list", 10, 12)
			h.addRun("look-1", "target 1", 14, 14.1)
		}, ""},
		"a target that has announced that it leaves gets later requests": {func(h scriptedHistory) {
			h.addAnnounced(14, 0)
		}, "had stated that it leaves"},
		"a target that has announced that it leaves gets requests for a while": {func(h scriptedHistory) {
			h.addAnnounced(13, 0)
		}, ""},
		"a target that had announced that it leaves gets requests after its restart": {func(h scriptedHistory) {
			h.addAnnounced(14, 13.9)
		}, ""},
		"a VM that restarts sends requests to a target that leaves": {func(h scriptedHistory) {
			h.addFault(faultKill, "entry 1", 11, 12)
			h.addAnnounced(14, 0)
		}, ""},
		"a request runs after it was answered": {func(h scriptedHistory) {
			h.addFault(faultStallInbound, "target 1", 10, 13)
			h.addRunAfterAnswer(13, 13.1)
		}, "which ended at 11.000s, began to run"},
		"a request runs after it was answered by a VM that was paused": {func(h scriptedHistory) {
			h.addFault(faultPause, "entry 1", 10, 13)
			h.addRunAfterAnswer(13, 13.1)
		}, ""},
		"a request runs after it was answered while another VM was paused": {func(h scriptedHistory) {
			h.addFault(faultPause, "entry 2", 10, 13)
			h.addRunAfterAnswer(13, 13.1)
		}, "which ended at 11.000s, began to run"},
		"a request of a VM that is cut runs after its helper was paused": {func(h scriptedHistory) {
			h.addFault(cutReset, "entry 1", 9, 12)
			h.addFault(faultPause, "entry 2", 10, 13)
			h.addRunAfterAnswer(13, 13.1)
		}, ""},
		"a request runs a little after it was answered": {func(h scriptedHistory) {
			h.addFault(faultDelay, "target 1", 10, 13)
			h.addRunAfterAnswer(11.4, 12)
		}, ""},
		"work continues after the caller went away": {func(h scriptedHistory) {
			h.addRequest("draft-1", 10, 11, func(r *request) { r.cancelled = true })
			h.addRun("draft-1", "target 1", 10, 14)
		}, "its caller went away"},
		"work ends after the caller went away": {func(h scriptedHistory) {
			h.addRequest("draft-1", 10, 11, func(r *request) { r.cancelled = true })
			h.addRun("draft-1", "target 1", 10, 11.3)
		}, ""},
		"two targets at once": {func(h scriptedHistory) {
			h.addRequest("draft-1", 10, 15, setServed(0))
			h.addRun("draft-1", "target 1", 10, 14)
			h.addRun("draft-1", "target 2", 12, 15)
		}, "while target 1 still works on it"},
		"one target after the other": {func(h scriptedHistory) {
			h.addRequest("draft-1", 10, 15, setServed(0))
			h.addRun("draft-1", "target 1", 10, 12.3)
			h.addRun("draft-1", "target 2", 12, 15)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newScriptedHistory()
			c.write(h)
			h.checkAll()
			found := strings.Join(h.violations, "\n")
			if c.found == "" {
				assert.Equal(t, found, "")
			} else {
				assert.Assert(t, strings.Contains(found, c.found), found)
			}
		})
	}
}

// TestAnswerViolations has answers that are wrong regardless of any faults.
func TestAnswerViolations(t *testing.T) {
	ran := []*targetRun{{target: "target 1"}}
	text := standin.CallBody("POST", "/look/x", 0)
	for name, c := range map[string]struct {
		r     request
		runs  []*targetRun
		found string
	}{
		"good call":                              {request{id: "look-1", status: 200, signer: "target 1", body: text}, ran, ""},
		"good stream":                            {request{id: "draft-1", status: 200, signer: "target 1", body: standin.StreamBody("draft-1")}, ran, ""},
		"broken stream":                          {request{id: "draft-1", status: 200, signer: "target 1", body: standin.Event("draft-1", 1), err: http.ErrAbortHandler}, ran, ""},
		"no answer":                              {request{id: "pay-1", err: http.ErrAbortHandler}, ran, ""},
		"failure of the system itself":           {request{id: "pay-1", status: 502}, ran, ""},
		"refusal":                                {request{id: "pay-1", status: 503}, nil, ""},
		"signed by a target that did not run it": {request{id: "look-1", status: 200, signer: "target 2", body: text}, ran, "did not run it"},
		"no signature":                           {request{id: "look-1", status: 200, body: text}, ran, "no signature"},
		"short stream":                           {request{id: "draft-1", status: 200, signer: "target 1", body: standin.Event("draft-1", 1)}, ran, "ended without error but has the wrong text"},
		"stream of another":                      {request{id: "draft-1", status: 200, signer: "target 1", body: standin.Event("draft-2", 1), err: http.ErrAbortHandler}, ran, "has the wrong text"},
		"event twice":                            {request{id: "draft-1", status: 200, signer: "target 1", body: strings.Repeat(standin.Event("draft-1", 1), 2), err: http.ErrAbortHandler}, ran, "has the wrong text"},
		"body of another":                        {request{id: "look-1", uri: "/look/y", status: 200, signer: "target 1", body: text}, ran, "answer has the wrong text"},
		"refused though it ran":                  {request{id: "pay-1", status: 503}, ran, "refused as not run"},
		"rejected as invalid":                    {request{id: "pay-1", status: 404}, nil, "rejected as invalid"},
		"a status that no target returns":        {request{id: "pay-1", status: 503, signer: "target 1"}, ran, "a status that no target returns"},
		"served without a key":                   {request{id: "nokey-1", uri: "/look/x", status: 200, signer: "target 1", body: text}, ran, "was not refused"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.r.uri == "" {
				c.r.uri = "/look/x"
			}
			found := answerViolation(&c.r, c.runs)
			assert.Assert(t, (c.found == "") == (found == "") && strings.Contains(found, c.found), found)
		})
	}
}

// TestRunViolations has runs that only the targets can see, not the callers.
func TestRunViolations(t *testing.T) {
	for name, c := range map[string]struct {
		act   func(h *history)
		found string
	}{
		"once":            {func(h *history) { h.recordSent("pay-1"); h.Began("pay-1", "t") }, ""},
		"a stream twice":  {func(h *history) { h.recordSent("draft-1"); h.Began("draft-1", "t"); h.Began("draft-1", "u") }, ""},
		"twice":           {func(h *history) { h.recordSent("pay-1"); h.Began("pay-1", "t"); h.Began("pay-1", "u") }, "at most once"},
		"never sent":      {func(h *history) { h.Began("pay-1", "t") }, "no caller sent it"},
		"a refused route": {func(h *history) { h.recordSent("bad-1"); h.Began("bad-1", "t") }, "was refused"},
		"an unknown key":  {func(h *history) { h.recordSent("nokey-1"); h.Began("nokey-1", "t") }, "its key is unknown"},
		"after a refusal": {func(h *history) {
			h.recordSent("pay-1")
			h.recordAnswer(&request{id: "pay-1", status: 503})
			h.Began("pay-1", "t")
		}, "never runs"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(func(string) {})
			c.act(h)
			found := strings.Join(h.violations, "\n")
			assert.Assert(t, (c.found == "") == (found == "") && strings.Contains(found, c.found), found)
		})
	}
}

// TestGracefulStopViolations checks that a stop that interrupts a request that the
// process had read is a violation, and that a stop that closes an idle connection is
// not.
func TestGracefulStopViolations(t *testing.T) {
	for name, c := range map[string]struct {
		write func(h scriptedHistory)
		found bool
	}{
		"a running request is cut off": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setAborted)
			h.addRun("pay-1", "target 1", 10.1, 12)
		}, true},
		"a request that was read is cut off": {func(h scriptedHistory) { h.addRequest("pay-1", 10, 12, setAborted) }, true},
		"a running request is abandoned": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(502))
			h.addRun("pay-1", "target 1", 10.1, 12)
		}, true},
		"a request that did not run is refused":                {func(h scriptedHistory) { h.addRequest("pay-1", 10, 12, setStatus(503)) }, false},
		"a connection is closed while a request is on its way": {func(h scriptedHistory) { h.addRequest("pay-1", 12, 12.1, setAborted) }, false},
		"a running request is abandoned at a cut VM": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(502))
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.addFault(cutHang, "entry 1", 9, 13)
		}, false},
		"a running request is abandoned before its VM is cut": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(502))
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.addFault(cutHang, "entry 1", 12.5, 13)
		}, true},
		"a running request is cut off at a cut VM": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setAborted)
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.addFault(cutHang, "entry 1", 9, 13)
		}, true},
		"the target was faulty": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setAborted)
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.addFault(faultCrash, "target 1", 11, 13)
		}, false},
		"it was sent to a target whose connection was reset": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusBadGateway))
			h.resets["entry 1"] = []time.Time{h.secondAt(11.95)}
		}, false},
		"it was sent over a link that held it until its deadline": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusGatewayTimeout))
			h.held["pay-1"] = true
		}, false},
		"a link held another request": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusGatewayTimeout))
			h.held["pay-2"] = true
		}, true},
		"it ended before its deadline while a link held it": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusBadGateway))
			h.held["pay-1"] = true
		}, true},
		"it ran at a sound target after a link had held it": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusGatewayTimeout))
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.held["pay-1"] = true
		}, true},
		"a connection was reset long before": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusBadGateway))
			h.resets["entry 1"] = []time.Time{h.secondAt(11.5)}
		}, true},
		"a connection of another VM was reset": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusBadGateway))
			h.resets["entry 2"] = []time.Time{h.secondAt(11.95)}
		}, true},
		"it ran at a sound target while a connection was reset": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setStatus(http.StatusBadGateway))
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.resets["entry 1"] = []time.Time{h.secondAt(11.95)}
		}, true},
		"it got no answer while a connection was reset": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setAborted)
			h.resets["entry 1"] = []time.Time{h.secondAt(11.95)}
		}, true},
		"the entry VM was killed as well": {func(h scriptedHistory) {
			h.addRequest("pay-1", 10, 12, setAborted)
			h.addRun("pay-1", "target 1", 10.1, 12)
			h.addFault(faultKill, "entry 1", 11, 13)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newScriptedHistory()
			c.write(h)
			h.addFault(faultStop, "entry 1", 11, 14)
			h.checkGracefulStop("entry 1", h.secondAt(11), h.secondAt(14))
			assert.Equal(t, len(h.violations) > 0, c.found, "%v", h.violations)
		})
	}
}

// TestDeadlyCallsThatReachTargetsLateAreFound has a call that crashes three targets by second 12
// and reaches targets later.
func TestDeadlyCallsThatReachTargetsLateAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		received []float64
		fault    string
		found    bool
	}{
		"four times late":                       {[]float64{16, 17, 18, 19}, "", true},
		"three times late":                      {[]float64{16, 17, 18}, "", false},
		"before all VMs know":                   {[]float64{12.5, 13, 14, 15}, "", false},
		"four times late while a VM is faulty":  {[]float64{16, 17, 18, 19}, faultPause, false},
		"four times late while a VM is cut":     {[]float64{16, 17, 18, 19}, cutReset, true},
		"four times late after bytes were held": {[]float64{16, 17, 18, 19}, cutHang, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newScriptedHistory()
			if c.fault != "" {
				h.addFault(c.fault, "entry 1", 15, 16)
			}
			var received []time.Time
			for _, s := range c.received {
				received = append(received, h.secondAt(s))
			}
			h.checkDeadly([]time.Time{h.secondAt(10), h.secondAt(11), h.secondAt(12)}, received)
			assert.Equal(t, len(h.violations) > 0, c.found, "%v", h.violations)
		})
	}
}
