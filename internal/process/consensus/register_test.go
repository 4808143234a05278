package consensus

import (
	"bytes"
	"fmt"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
)

// single is the naive single copy of the log: what was applied at each index by
// whichever replica came first. All others must apply the same.
type single struct {
	mu       sync.Mutex // guards the fields below
	commands map[uint64]string
	errs     []string
}

func newSingle() *single { return &single{commands: map[uint64]string{}} }

func (s *single) note(index uint64, command string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.commands[index]; ok && first != command {
		s.errs = append(s.errs, fmt.Sprintf("entry %d was applied as %q and as %q", index, first, command))
	}
	s.commands[index] = command
}

// stateAt returns what the single copy holds after index.
func (s *single) stateAt(index uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b strings.Builder
	for i := uint64(1); i <= index; i++ {
		b.WriteString(s.commands[i])
	}
	return b.String()
}

func (s *single) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, fmt.Sprintf(format, args...))
}

func (s *single) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) == 0 {
		return nil
	}
	return errors.New(strings.Join(s.errs, "; "))
}

// register is a state machine that appends commands to one value and answers
// with the whole value.
type register struct {
	single *single

	mu    sync.Mutex // guards the fields below
	last  uint64
	value []byte
}

func (r *register) Apply(index uint64, command []byte) any {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index <= r.last {
		r.single.report("entry %d was applied after %d", index, r.last)
	}
	r.single.note(index, string(command))
	r.last = index
	r.value = append(r.value, command...)
	if string(r.value) != r.single.stateAt(index) {
		r.single.report("state after %d is not that of the single copy", index)
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
	if string(value) != r.single.stateAt(r.last) {
		r.single.report("snapshot after %d is not the state of the single copy", r.last)
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

// reply is what the client saw. An unknown append may have happened or not.
type reply struct {
	value   string
	unknown bool
}

// registerModel is the register as one copy.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		next := state.(string) + input.(operation).text
		out := output.(reply)
		return out.unknown || out.value == next, next
	},
}
