package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/platform/standin"
)

// day is a history that is written by hand. Times are seconds.
type day struct {
	*history
}

func newDay() day {
	d := day{newHistory(func(string) {})}
	d.begin = time.Unix(1_000_000, 0)
	return d
}

func (d day) second(s float64) time.Time { return d.begin.Add(time.Duration(s * float64(time.Second))) }

// request adds a request from one second to another at entry 1.
func (d day) request(id string, from, to float64, change func(r *request)) *request {
	r := &request{id: id, entry: "entry 1", start: 1, uri: "/look/x", sent: d.second(from), ended: d.second(to)}
	change(r)
	d.sent[id] = true
	d.requests = append(d.requests, r)
	return r
}

func (d day) run(id, target string, from, to float64) {
	r := &targetRun{target: target, began: d.second(from)}
	if to > 0 {
		r.ended = d.second(to)
	}
	d.runs[id] = append(d.runs[id], r)
}

func (d day) trouble(kind, subject string, from, to float64) {
	d.troubles = append(d.troubles, &trouble{kind: kind, subject: subject, from: d.second(from), to: d.second(to)})
}

func (d day) declare(version int, sent, acked float64) {
	x := &declaration{version: version, document: standin.Declaration{Version: version}.Document(), sent: d.second(sent)}
	if acked > 0 {
		x.acked = d.second(acked)
	}
	d.declarations = append(d.declarations, x)
}

func served(version int) func(r *request) {
	return func(r *request) {
		r.version, r.status, r.signer, r.body = version, http.StatusOK, "target 1", standin.CallBody("POST", "/look/x", 0)
	}
}

func status(code int) func(r *request) { return func(r *request) { r.status = code } }

func cut(r *request) { r.err = http.ErrAbortHandler }

// TestChecksFindBrokenPromises has a history for each promise that breaks it, and its
// twin that keeps it.
func TestChecksFindBrokenPromises(t *testing.T) {
	for name, c := range map[string]struct {
		write func(d day)
		found string // part of the finding; empty for none
	}{
		"not served in calm": {func(d day) { d.request("look-1", 10, 11, status(503)) }, "not served though nothing is harmed"},
		"not served in trouble": {func(d day) {
			d.request("look-1", 10, 11, status(503))
			d.trouble(troubleKill, "entry 1", 9, 9.5)
		}, ""},
		"not served after an old trouble": {func(d day) {
			d.request("look-1", 20, 21, status(503))
			d.trouble(troubleKill, "entry 1", 9, 9.5)
		}, "not served though nothing is harmed"},
		"an old configuration": {func(d day) {
			d.declare(1, 1, 2)
			d.declare(2, 3, 4)
			d.request("mark-1", 7, 7.1, served(1))
		}, "is served by version 1; 2 was confirmed"},
		"an old configuration, soon after": {func(d day) {
			d.declare(1, 1, 2)
			d.declare(2, 3, 4)
			d.request("mark-1", 5, 5.1, served(1))
		}, ""},
		"an old configuration, control VM harmed": {func(d day) {
			d.declare(1, 1, 2)
			d.declare(2, 3, 4)
			d.request("mark-1", 7, 7.1, served(1))
			d.trouble(troublePause, "keeper 2", 5, 5.5)
		}, ""},
		"no route of the newest": {func(d day) {
			d.declare(2, 3, 4)
			d.request("mark-1", 7, 7.1, func(r *request) { r.version, r.status = 2, 404 })
		}, "has no route; version 2 was confirmed"},
		"no route of the one that lost a race": {func(d day) {
			d.declare(2, 3, 4)
			d.declare(2, 3, 4)
			d.request("mark-1", 7, 7.1, func(r *request) { r.version, r.status = 2, 404 })
		}, ""},
		"back to an older one": {func(d day) {
			d.request("mark-1", 7, 7.1, served(5))
			d.request("mark-2", 7.5, 7.6, served(4))
		}, "the same process served version 5"},
		"an older one in another process": {func(d day) {
			d.request("mark-1", 7, 7.1, served(5))
			d.request("mark-2", 7.5, 7.6, func(r *request) { served(4)(r); r.start = 2 })
		}, ""},
		"an older one at about the same time": {func(d day) {
			d.request("mark-1", 7, 7.1, served(5))
			d.request("mark-2", 7.2, 7.3, served(4))
		}, ""},
		"an old reading": {func(d day) {
			d.declare(2, 3, 4)
			d.declare(1, 1, 2)
			d.readings = append(d.readings, reading{keeper: "keeper 1", sent: d.second(5), version: 1, document: standin.Declaration{Version: 1}.Document()})
		}, "answers version 1"},
		"a reading of what was refused": {func(d day) {
			d.declare(1, 1, 0)
			document := standin.Declaration{Version: 1}.Document()
			d.refused[document] = true
			d.readings = append(d.readings, reading{keeper: "keeper 1", sent: d.second(5), version: 1, document: document})
		}, "was not sent or was refused"},
		"two readings of one version": {func(d day) {
			d.declarations = append(d.declarations, &declaration{version: 1, document: "a"}, &declaration{version: 1, document: "b"})
			d.readings = append(d.readings, reading{version: 1, document: "a"}, reading{version: 1, document: "b"})
		}, "two documents were read as version 1"},
		"a leaving target gets more": {func(d day) {
			d.trouble(troubleLeave, "target 1", 10, 15)
			d.run("look-1", "target 1", 14, 14.1)
		}, "shows it as leaving"},
		"a leaving target gets more while the list is down": {func(d day) {
			d.trouble(troubleLeave, "target 1", 10, 15)
			d.trouble(troubleList, "list", 10, 12)
			d.run("look-1", "target 1", 14, 14.1)
		}, ""},
		"work goes on after the caller left": {func(d day) {
			d.request("draft-1", 10, 11, func(r *request) { r.left = true })
			d.run("draft-1", "target 1", 10, 14)
		}, "its caller left"},
		"work ends after the caller left": {func(d day) {
			d.request("draft-1", 10, 11, func(r *request) { r.left = true })
			d.run("draft-1", "target 1", 10, 11.3)
		}, ""},
		"two targets at once": {func(d day) {
			d.request("draft-1", 10, 15, served(0))
			d.run("draft-1", "target 1", 10, 14)
			d.run("draft-1", "target 2", 12, 15)
		}, "while target 1 still works on it"},
		"one target after the other": {func(d day) {
			d.request("draft-1", 10, 15, served(0))
			d.run("draft-1", "target 1", 10, 12.3)
			d.run("draft-1", "target 2", 12, 15)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDay()
			c.write(d)
			d.check()
			found := strings.Join(d.findings, "\n")
			if c.found == "" {
				assert.Equal(t, found, "")
			} else {
				assert.Assert(t, strings.Contains(found, c.found), found)
			}
		})
	}
}

// TestAnswersThatAreWrongAtAnyTime has answers that no trouble excuses.
func TestAnswersThatAreWrongAtAnyTime(t *testing.T) {
	ran := []*targetRun{{target: "target 1"}}
	text := standin.CallBody("POST", "/look/x", 0)
	for name, c := range map[string]struct {
		r     request
		runs  []*targetRun
		found string
	}{
		"good call":             {request{id: "look-1", status: 200, signer: "target 1", body: text}, ran, ""},
		"good stream":           {request{id: "draft-1", status: 200, signer: "target 1", body: standin.StreamBody("draft-1")}, ran, ""},
		"broken stream":         {request{id: "draft-1", status: 200, signer: "target 1", body: standin.Event("draft-1", 1), err: http.ErrAbortHandler}, ran, ""},
		"no answer":             {request{id: "pay-1", err: http.ErrAbortHandler}, ran, ""},
		"own failure":           {request{id: "pay-1", status: 502}, ran, ""},
		"refusal":               {request{id: "pay-1", status: 503}, nil, ""},
		"a signature of nobody": {request{id: "look-1", status: 200, signer: "target 2", body: text}, ran, "did not run it"},
		"no signature":          {request{id: "look-1", status: 200, body: text}, ran, "no signature"},
		"short stream":          {request{id: "draft-1", status: 200, signer: "target 1", body: standin.Event("draft-1", 1)}, ran, "whole, but not its own"},
		"stream of another":     {request{id: "draft-1", status: 200, signer: "target 1", body: standin.Event("draft-2", 1), err: http.ErrAbortHandler}, ran, "not its own"},
		"event twice":           {request{id: "draft-1", status: 200, signer: "target 1", body: strings.Repeat(standin.Event("draft-1", 1), 2), err: http.ErrAbortHandler}, ran, "not its own"},
		"body of another":       {request{id: "look-1", uri: "/look/y", status: 200, signer: "target 1", body: text}, ran, "answer is not its own"},
		"refused though it ran": {request{id: "pay-1", status: 503}, ran, "refused as not run"},
		"refused as wrong":      {request{id: "pay-1", status: 404}, nil, "refused as wrong"},
		"another status":        {request{id: "pay-1", status: 503, signer: "target 1"}, ran, "another status"},
		"served without a key":  {request{id: "nokey-1", uri: "/look/x", status: 200, signer: "target 1", body: text}, ran, "was not refused"},
	} {
		t.Run(name, func(t *testing.T) {
			if c.r.uri == "" {
				c.r.uri = "/look/x"
			}
			found := wrongAnswer(&c.r, c.runs)
			assert.Assert(t, (c.found == "") == (found == "") && strings.Contains(found, c.found), found)
		})
	}
}

// TestRunsThatMustNotBe: targets see what no answer shows.
func TestRunsThatMustNotBe(t *testing.T) {
	for name, c := range map[string]struct {
		act   func(h *history)
		found string
	}{
		"once":            {func(h *history) { h.sending("pay-1"); h.Began("pay-1", "t") }, ""},
		"a stream twice":  {func(h *history) { h.sending("draft-1"); h.Began("draft-1", "t"); h.Began("draft-1", "u") }, ""},
		"twice":           {func(h *history) { h.sending("pay-1"); h.Began("pay-1", "t"); h.Began("pay-1", "u") }, "at most once"},
		"never sent":      {func(h *history) { h.Began("pay-1", "t") }, "no caller sent it"},
		"a refused route": {func(h *history) { h.sending("bad-1"); h.Began("bad-1", "t") }, "was refused"},
		"an unknown key":  {func(h *history) { h.sending("nokey-1"); h.Began("nokey-1", "t") }, "nobody holds its key"},
		"after a refusal": {func(h *history) {
			h.sending("pay-1")
			h.answeredWith(&request{id: "pay-1", status: 503})
			h.Began("pay-1", "t")
		}, "never runs"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(func(string) {})
			c.act(h)
			found := strings.Join(h.findings, "\n")
			assert.Assert(t, (c.found == "") == (found == "") && strings.Contains(found, c.found), found)
		})
	}
}

// TestStopsThatCut: a stop that cuts what the process had read is found, one that
// closes an idle connection is not.
func TestStopsThatCut(t *testing.T) {
	for name, c := range map[string]struct {
		write func(d day)
		found bool
	}{
		"what ran is cut":      {func(d day) { d.request("pay-1", 10, 12, cut); d.run("pay-1", "target 1", 10.1, 12) }, true},
		"what was read is cut": {func(d day) { d.request("pay-1", 10, 12, cut) }, true},
		"what ran is given up": {func(d day) {
			d.request("pay-1", 10, 12, status(502))
			d.run("pay-1", "target 1", 10.1, 12)
		}, true},
		"what did not run is refused": {func(d day) { d.request("pay-1", 10, 12, status(503)) }, false},
		"a close crosses a request":   {func(d day) { d.request("pay-1", 12, 12.1, cut) }, false},
		"the target was harmed": {func(d day) {
			d.request("pay-1", 10, 12, cut)
			d.run("pay-1", "target 1", 10.1, 12)
			d.trouble(troubleCrash, "target 1", 11, 13)
		}, false},
		"the entry VM was killed as well": {func(d day) {
			d.request("pay-1", 10, 12, cut)
			d.run("pay-1", "target 1", 10.1, 12)
			d.trouble(troubleKill, "entry 1", 11, 13)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDay()
			c.write(d)
			d.trouble(troubleStop, "entry 1", 11, 14)
			d.checkStop("entry 1", d.second(11), d.second(14))
			assert.Equal(t, len(d.findings) > 0, c.found, "%v", d.findings)
		})
	}
}
