package certs

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// An identity names files. None may take the place of the authority's or of another
// identity's files.
func TestIdentitiesKeepToTheirFiles(t *testing.T) {
	dir := t.TempDir()
	a, err := OpenAuthority(dir)
	assert.NilError(t, err)
	before, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	for _, id := range []string{"", "ca", "r1-key", "../r1", "a/b", "."} {
		_, err := a.Issue(peer.Identity{ID: id, Role: peer.RoleRouter})
		assert.ErrorContains(t, err, "can't name files", "%q", id)
	}
	after, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
	_, err = a.Issue(peer.Identity{ID: "r1", Role: peer.RoleRouter})
	assert.NilError(t, err)
}

// The key of an authority is not overwritten because its certificate is missing.
func TestAuthorityIsNotMadeOverAnExistingKey(t *testing.T) {
	dir := t.TempDir()
	_, err := OpenAuthority(dir)
	assert.NilError(t, err)
	assert.NilError(t, os.Remove(filepath.Join(dir, "ca.pem")))
	_, err = OpenAuthority(dir)
	assert.ErrorContains(t, err, "ca.pem")
}
