package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

type inner struct {
	At   Address  `yaml:"at" settings:"required"`
	Wait Duration `yaml:"wait"`
}

func (i *inner) Validate() (string, string) {
	if i.Wait.Std() > time.Minute {
		return "wait", "must be at most 1m"
	}
	return "", ""
}

type outer struct {
	ID    string  `yaml:"id" settings:"required"`
	Size  int     `yaml:"size"`
	Inner inner   `yaml:"inner"`
	List  []inner `yaml:"list"`
}

func TestDecodeErrorsGiveFileLineAndField(t *testing.T) {
	cases := []struct{ text, want string }{
		{"id: a\nsise: 3\n", "f.yaml:2: field sise: unknown key"},
		{"size: 3\n", "f.yaml:1: field id: value is missing"},
		{"id: a\ninner:\n  at: localhost:80\n", `f.yaml:3: field inner.at: "localhost:80" is not IP:port`},
		{"id: a\ninner:\n  at: 127.0.0.1:0\n", `f.yaml:3: field inner.at: "127.0.0.1:0" has no port`},
		{"id: a\nlist:\n  - at: 127.0.0.1:80\n    wait: soon\n", `f.yaml:4: field list[0].wait: "soon" is not a duration such as 250ms or 2s`},
		{"id: a\nlist:\n  - at: 127.0.0.1:80\n    wait: 2m\n", "f.yaml:4: field list[0].wait: must be at most 1m"},
		{"id: a\nlist:\n  - wait: 1s\n", "f.yaml:3: field list[0].at: value is missing"},
		{"id:\n", "f.yaml:1: field id: value is missing"},
		{"id: a\nid: b\n", "f.yaml:2: field id: duplicate key"},
		{"id: a\ninner: 3\n", "f.yaml:2: field inner: expected a mapping"},
		{"", "f.yaml:1: file is empty"},
	}
	for _, c := range cases {
		err := Decode("f.yaml", []byte(c.text), &outer{})
		assert.Assert(t, fault.Is(err, fault.SettingsInvalid), "%q: %v", c.text, err)
		assert.Equal(t, err.Error(), "settings_invalid: "+c.want)
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	o := outer{Size: 7}
	text := "id: a\ninner:\n  at: 127.0.0.1:80\n  wait: 250ms\n"
	assert.NilError(t, Decode("f.yaml", []byte(text), &o))
	assert.Equal(t, o.Size, 7)
	assert.Equal(t, o.Inner.Wait.Std(), 250*time.Millisecond)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("id: a\nlist:\n  - at: 127.0.0.1:80\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var o outer
		if err := Decode("f.yaml", data, &o); err != nil {
			assert.Assert(t, fault.Is(err, fault.SettingsInvalid))
		}
	})
}
