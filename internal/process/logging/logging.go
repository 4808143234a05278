// Package logging writes one line of key=value pairs for each event. The event
// names are a fixed set, so that operators can search for them.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Event names what a log line tells.
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
	ConnectionReplaced   Event = "connection_replaced"
	RouterLost           Event = "router_lost"
)

// Fields are the pairs of one line beside the event.
type Fields = logrus.Fields

// Logger writes events. The zero value is not usable; Discard serves tests.
type Logger struct {
	entry    *logrus.Entry
	observer func(Event, Fields)
}

// Observe calls f with every event that l writes from now on. It must be called
// before l is used by several goroutines; f must be safe for concurrent use.
func (l *Logger) Observe(f func(Event, Fields)) {
	l.observer = f
}

// write gives one event to the observer and returns the line to write.
func (l *Logger) write(event Event, fields Fields) *logrus.Entry {
	if l.observer != nil {
		l.observer(event, fields)
	}
	return l.entry.WithField("event", string(event)).WithFields(fields)
}

// New returns a logger that writes to w and adds the process's role and
// identity to every line.
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

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, "none", "none")
}

// Info writes one line for an ordinary event.
func (l *Logger) Info(event Event, fields Fields) {
	l.write(event, fields).Info()
}

// Warn writes one line for an event that an operator should know of.
func (l *Logger) Warn(event Event, fields Fields) {
	l.write(event, fields).Warn()
}

// Error writes one line for an event that an operator must act on.
func (l *Logger) Error(event Event, fields Fields) {
	l.write(event, fields).Error()
}
