package consensus

import (
	"bytes"
	"fmt"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
)

// referenceLog holds the command that the first replica applied at each index. All other
// replicas must apply the same ones.
type referenceLog struct {
	mu       sync.Mutex // guards the fields below
	commands map[uint64]string
	errs     []string
}

func newReferenceLog() *referenceLog { return &referenceLog{commands: map[uint64]string{}} }

func (s *referenceLog) record(index uint64, command string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.commands[index]; ok && first != command {
		s.errs = append(s.errs, fmt.Sprintf("entry %d was applied as %q and as %q", index, first, command))
	}
	s.commands[index] = command
}

// stateAt returns the register's value after index.
func (s *referenceLog) stateAt(index uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for i := uint64(1); i <= index; i++ {
		b.WriteString(s.commands[i])
	}
	return b.String()
}

func (s *referenceLog) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, fmt.Sprintf(format, args...))
}

func (s *referenceLog) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) == 0 {
		return nil
	}
	return errors.New(strings.Join(s.errs, "; "))
}

// register is a state machine that appends each command to a value and returns the
// whole value.
type register struct {
	reference *referenceLog

	mu    sync.Mutex // guards the fields below
	last  uint64
	value []byte
}

func (r *register) Apply(index uint64, command []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index <= r.last {
		r.reference.report("entry %d was applied after %d", index, r.last)
	}
	r.reference.record(index, string(command))
	r.last = index
	r.value = append(r.value, command...)
	if string(r.value) != r.reference.stateAt(index) {
		r.reference.report("state after %d differs from the reference log", index)
	}
	return string(r.value)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return []byte(fmt.Sprintf("%d:%s", r.last, r.value)), nil
}

func (r *register) Restore(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	head, value, ok := bytes.Cut(b, []byte(":"))
	if !ok {
		return errors.New("no state")
	}
	if _, err := fmt.Sscanf(string(head), "%d", &r.last); err != nil {
		return errors.Trace(err)
	}
	r.value = bytes.Clone(value)
	if string(value) != r.reference.stateAt(r.last) {
		r.reference.report("snapshot after %d differs from the reference log", r.last)
	}
	return nil
}

func (r *register) read() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.value)
}

// operation is one call of a client: an append, or a read when text is empty.
type operation struct{ text string }

// reply is the result of a call. An append with an unknown result may have happened.
type reply struct {
	value   string
	unknown bool
}

// registerModel is the sequential specification of the register.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		next := state.(string) + input.(operation).text
		out := output.(reply)
		return out.unknown || out.value == next, next
	},
}
