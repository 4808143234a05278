package certs

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// File names are derived from the identity. Issue must not overwrite the files of the
// authority or of another identity, or write outside its directory.
func TestIssueRejectsIdentitiesThatNameOtherFiles(t *testing.T) {
	dir := t.TempDir()
	a, err := OpenAuthority(dir)
	assert.NilError(t, err)
	before, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	for _, id := range []string{"", "ca", "r1-key", "../r1", "a/b", "."} {
		_, err := a.Issue(peer.Identity{ID: id, Role: peer.RoleRouter})
		assert.ErrorContains(t, err, "is not usable as a file name", "%q", id)
	}
	after, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	assert.DeepEqual(t, after, before)
	_, err = a.Issue(peer.Identity{ID: "r1", Role: peer.RoleRouter})
	assert.NilError(t, err)
}

// OpenAuthority must not overwrite the key of an authority whose certificate is missing.
func TestOpenAuthorityKeepsExistingKey(t *testing.T) {
	dir := t.TempDir()
	_, err := OpenAuthority(dir)
	assert.NilError(t, err)
	assert.NilError(t, os.Remove(filepath.Join(dir, "ca.pem")))
	_, err = OpenAuthority(dir)
	assert.ErrorContains(t, err, "ca.pem")
}
