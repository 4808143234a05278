package logging

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chicoryswitch/chicoryswitch/internal/proptest"
)

// TestMain fixes the seed of the property tests; the environment variable SEED
// overrides it.
func TestMain(m *testing.M) {
	os.Exit(proptest.Main(m))
}

// TestWrittenLinesParseBack checks that lines with arbitrary field values are parsed
// back unchanged.
func TestWrittenLinesParseBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reason, request := rapid.String().Draw(t, "reason"), rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(t, "request")
		var log bytes.Buffer
		New(&log, "entry", "v1").Warn(RequestRefused, Fields{"request": request, "reason": reason})
		lines, err := ReadLines(&log)
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].Event, RequestRefused)
		assert.Equal(t, lines[0].VM, "v1")
		assert.Equal(t, lines[0].Request(), request)
		// Invalid UTF-8 is written as replacement characters.
		assert.Equal(t, lines[0].Fields["reason"], strings.ToValidUTF8(reason, "\uFFFD"))
	})
}

// FuzzParseLine checks that any text is either rejected or parsed into a line that
// survives being written and parsed again.
func FuzzParseLine(f *testing.F) {
	f.Add(`time="2026-01-01T00:00:00Z" event=x id=a request=b reason="c \"d\""`)
	f.Add(`panic: x`)
	f.Add(`a="`)
	f.Fuzz(func(t *testing.T, text string) {
		l, ok := parseLine(text)
		if !ok {
			return
		}
		assert.Assert(t, l.Event != "" && !l.Time.IsZero())
		again := fmt.Sprintf("time=%s event=%q id=%q", l.Time.Format(time.RFC3339Nano), string(l.Event), l.VM)
		for _, key := range l.Keys {
			again += fmt.Sprintf(" %s=%q", key, l.Fields[key])
		}
		got, ok := parseLine(again)
		assert.Assert(t, ok, again)
		assert.DeepEqual(t, got.Fields, l.Fields)
		assert.Equal(t, got.Event, l.Event)
		assert.Assert(t, got.Time.Equal(l.Time))
	})
}
