package declared

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func TestCompressionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := []byte(strings.Repeat(rapid.String().Draw(t, "part"), rapid.IntRange(0, 50).Draw(t, "times")))
		d, err := Compress(7, document)
		assert.NilError(t, err)
		got, err := Decompress(d)
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(document))
		assert.Equal(t, d.GetVersion(), uint64(7))
	})
}

// TestManyRoutesCompressWell guards the load of a configuration that grows by a thousand
// routes and is sent to each of many entry VMs within a second.
func TestManyRoutesCompressWell(t *testing.T) {
	document := "["
	for i := range 1000 {
		document += fmt.Sprintf(`{"name":"r-%x","host":"h%d.example","path_prefix":"/p%x/","type":"safe","timeout_ms":600,"service":"s1"},`, i*7919, i%20, i*104729)
	}
	d, err := Compress(7, []byte(document))
	assert.NilError(t, err)
	assert.Assert(t, proto.Size(d) < len(document)/5, "%d of %d bytes", proto.Size(d), len(document))
}

func TestDecompressRejectsInvalidData(t *testing.T) {
	for name, data := range map[string]string{"not gzip": "text", "truncated": "\x1f\x8b\x08\x00"} {
		t.Run(name, func(t *testing.T) {
			_, err := Decompress(&chicoryv1.Declaration{Version: 7, Packed: []byte(data)})
			assert.ErrorContains(t, err, "version 7")
		})
	}
}
