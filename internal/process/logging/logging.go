// Package logging writes one line of key=value pairs for each event. The event
// names are a fixed set, so that operators can search for them.
package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// Event is the name of the event that a log line reports.
type Event string

// The fixed set of events.
const (
	ProcessStarted       Event = "process_started"
	ProcessDraining      Event = "process_draining"
	ProcessStopped       Event = "process_stopped"
	SettingsRejected     Event = "settings_rejected"
	ConfigurationApplied Event = "configuration_applied"
	ConfigurationStale   Event = "configuration_stale"
	WatchLost            Event = "watch_lost"
	LeaderChanged        Event = "leader_changed"
	PeerLost             Event = "peer_lost"
	PeerFound            Event = "peer_found"
	LogRepaired          Event = "log_repaired"
	SnapshotTaken        Event = "snapshot_taken"
	SnapshotInstalled    Event = "snapshot_installed"
	MemberChanged        Event = "member_changed"
	StorageFailed        Event = "storage_failed"
	ChangeConfirmed      Event = "change_confirmed"
	ChangeRefused        Event = "change_refused"
	MoveChanged          Event = "move_changed"
	MoveEnded            Event = "move_ended"
	VersionStopped       Event = "version_stopped"
	OrderSent            Event = "order_sent"
	OrderRefused         Event = "order_refused"
	GenerationEnded      Event = "generation_ended"
	GenerationResumed    Event = "generation_resumed"
	GenerationFailed     Event = "generation_failed"
	ChunkDropped         Event = "chunk_dropped"
	CallEnded            Event = "call_ended"
	CallRetried          Event = "call_retried"
	AnswerDropped        Event = "answer_dropped"
	ClaimInDoubt         Event = "claim_in_doubt"
	RequestRefused       Event = "request_refused"
	TargetEjected        Event = "target_ejected"
	TargetReturned       Event = "target_returned"
	TargetLeaving        Event = "target_leaving"
	TargetHealthChecked  Event = "target_health_checked"
	TargetLimited        Event = "target_limited"
	TargetLimitEnded     Event = "target_limit_ended"
	TargetClosed         Event = "target_closed"
	ConnectionReplaced   Event = "connection_replaced"
	RelayBegun           Event = "relay_begun"
	RelayRefused         Event = "relay_refused"
	RouterLost           Event = "router_lost"
	AttemptEnded         Event = "attempt_ended"
	StreamPlaced         Event = "stream_placed"
	StreamQueued         Event = "stream_queued"
	StreamDequeued       Event = "stream_dequeued"
	StreamQueueRefused   Event = "stream_queue_refused"
	StreamBegun          Event = "stream_begun"
	PartQuarantined      Event = "part_quarantined"
	QuarantineTried      Event = "quarantine_tried"
	StreamResumed        Event = "stream_resumed"
	RequestAnswered      Event = "request_answered"
	RequestBroken        Event = "request_broken"
	RequestPanicked      Event = "request_panicked"
	EngineProbed         Event = "engine_probed"
	EngineSilent         Event = "engine_silent"
	DeclarationAccepted  Event = "declaration_accepted"
	DeclarationRefused   Event = "declaration_refused"
	DeclarationApplied   Event = "declaration_applied"
	TargetListChanged    Event = "target_list_changed"
	TargetListLost       Event = "target_list_lost"
	TargetListFound      Event = "target_list_found"
	PlacesLoaded         Event = "places_loaded"
	PlacesLost           Event = "places_lost"
	FeedLost             Event = "feed_lost"
	FeedFound            Event = "feed_found"
	TargetPathLost       Event = "target_path_lost"
	TargetPathFound      Event = "target_path_found"
	TargetsCutOff        Event = "targets_cut_off"
	TargetsReached       Event = "targets_reached"
	SettingsReloaded     Event = "settings_reloaded"
	LinesLeftOut         Event = "lines_left_out"
	ClientsRefused       Event = "clients_refused"
)

// Fields are the key=value pairs of one line apart from the event.
type Fields = logrus.Fields

// Logger writes events. The zero value is not usable; tests can use Discard.
type Logger struct {
	entry    *logrus.Entry
	observer func(Event, Fields)
	limiter  *lineLimiter // nil means no limit
}

// Observe calls f for every later event, including events whose lines are dropped. It
// must be called before l is used by several goroutines; f must be safe for concurrent
// use.
func (l *Logger) Observe(f func(Event, Fields)) {
	l.observer = f
}

// write passes one event to the observer and writes its line, unless the rate limit
// is exceeded.
func (l *Logger) write(level logrus.Level, event Event, fields Fields) {
	if l.observer != nil {
		l.observer(event, fields)
	}
	if l.limiter != nil {
		ok, dropped := l.limiter.allow(time.Now(), level <= logrus.WarnLevel)
		if !ok {
			return
		}
		if dropped > 0 {
			l.entry.WithField("event", string(LinesLeftOut)).WithField("lines", dropped).Warn()
		}
	}
	l.entry.WithField("event", string(event)).WithFields(fields).Log(level)
}

// New returns a logger that writes to w and adds the role and the id of the process to
// every line.
func New(w io.Writer, role, id string) *Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{
		DisableColors:    true,
		FullTimestamp:    true,
		TimestampFormat:  "2006-01-02T15:04:05.000Z07:00",
		QuoteEmptyFields: true,
	})
	return &Logger{entry: l.WithFields(Fields{"role": role, "id": id})}
}

// NewRateLimited returns a logger like New, for a process that serves requests: the
// rate of lines is limited, and a separate line reports how many were dropped.
func NewRateLimited(w io.Writer, role, id string) *Logger {
	l := New(w, role, id)
	l.limiter = newLineLimiter(time.Now())
	return l
}

// Dropped returns the number of lines dropped by the rate limit or by a full Sink.
func (l *Logger) Dropped() int64 {
	var n int64
	if l.limiter != nil {
		n = l.limiter.totalDropped.Load()
	}
	if sink, ok := l.entry.Logger.Out.(*Sink); ok {
		n += sink.Dropped()
	}
	return n
}

// Discard returns a logger whose output is discarded.
func Discard() *Logger {
	return New(io.Discard, "none", "none")
}

// Info writes one line for a routine event.
func (l *Logger) Info(event Event, fields Fields) {
	l.write(logrus.InfoLevel, event, fields)
}

// Warn writes one line for an event that an operator should know about.
func (l *Logger) Warn(event Event, fields Fields) {
	l.write(logrus.WarnLevel, event, fields)
}

// Error writes one line for an event that an operator must act on.
func (l *Logger) Error(event Event, fields Fields) {
	l.write(logrus.ErrorLevel, event, fields)
}
