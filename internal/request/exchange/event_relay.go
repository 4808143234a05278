package exchange

import (
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/http1"
	"github.com/chicoryswitch/chicoryswitch/internal/request/pace"
	"github.com/chicoryswitch/chicoryswitch/internal/request/placement"
	"github.com/chicoryswitch/chicoryswitch/internal/version/declared"
)

// eventRelay forwards the events of one engine's response.
type eventRelay struct {
	st       *stream
	response *http1.Response
	meta     ResponseMetadata
	run      *placement.Run
	guard    *attemptGuard
	watchdog *pace.Watchdog

	result attemptResult
	// previous is when the last new event had been written to the caller.
	previous time.Time
	pace     paceObserver
	// otherBytes is the size of all events since the last new one.
	otherBytes int
}

// relayAll forwards events until the stream ends.
func (r *eventRelay) relayAll() attemptResult {
	r.result = attemptResult{outcome: outcomeLost, status: r.response.Status}
	events := newEventReader(r.response)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && r.endedEarly() {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			r.response.Finish()
			r.result.final = r.st.finishStream(r.response)
			return r.result
		}
		if err == nil {
			err = r.relay(e)
		}
		if err != nil {
			r.response.Abandon()
			r.result.final, r.result.err = isCallerError(err), err
			return r.result
		}
	}
}

// endedEarly reports whether a response that ends with its connection ended before its first
// event: an engine that crashes leaves the same bytes.
func (r *eventRelay) endedEarly() bool {
	return !r.response.SelfDelimited && r.result.events == 0 && r.st.lastEvent == 0 && r.st.eventsSent == 0
}

// relay forwards one event. The watchdog is paused meanwhile: a caller that reads slowly is no
// silence of the engine.
func (r *eventRelay) relay(e event) error {
	if !r.st.isNew(e) {
		return r.relayOther(e)
	}
	r.recordNew()
	r.watchdog.Pause()
	if err := r.st.relayEvent(r.response, e); err != nil {
		return err
	}
	r.previous = time.Now()
	r.watchdog.Reset(r.st.gaps.SilenceTimeout(r.st.silenceBounds(), 0))
	return nil
}

// relayOther forwards an event that does not continue the stream, up to a limit.
func (r *eventRelay) relayOther(e event) error {
	if r.otherBytes += len(e.raw); r.otherBytes > maxUnnumberedBytes {
		return &http1.LimitError{Limit: http1.LimitUnnumbered, Max: maxUnnumberedBytes}
	}
	r.watchdog.Pause()
	defer r.watchdog.Resume()
	return r.st.relayEvent(r.response, e)
}

// recordNew records the arrival of a new event.
func (r *eventRelay) recordNew() {
	now := time.Now()
	if r.result.events == 0 {
		r.run.MarkPromptRead()
		r.st.logFirstEvent(r.run, r.meta, now)
		r.pace.firstEvent(r.run, r.st.size.Prompt, r.st.dispatchedAt, now)
	} else {
		r.st.gaps.Add(now.Sub(r.previous))
		r.pace.event(r.run, r.previous, now)
	}
	r.result.events++
	r.result.lastEventAt = now
	r.guard.received()
	if r.result.events == eventsOfBegunAnswer {
		r.st.markBegun()
	}
	r.otherBytes = 0
}

// isNew reports whether an event continues the stream. Comments, events that were relayed
// before and, in a stream that can be resumed by number, events without a number do not: an
// engine that sends only these is stalled.
func (st *stream) isNew(e event) bool {
	if e.id != 0 {
		return e.id > st.lastEvent
	}
	return e.hasData && (st.lastEvent == 0 || st.a.Route.RetryPolicy != declared.Resumable)
}
