package peer_test

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
	"github.com/chicoryswitch/chicoryswitch/internal/process/certs"
)

// reloadInterval is longer than keys are used without a look at their files.
const reloadInterval = 6 * time.Second

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.OpenAuthority(t.TempDir())
	assert.NilError(t, err)
	return a
}

func issue(t *testing.T, a *certs.Authority, id string, role peer.Role) peer.Files {
	t.Helper()
	files, err := a.Issue(peer.Identity{ID: id, Role: role})
	assert.NilError(t, err)
	return files
}

func load(t *testing.T, files peer.Files) *peer.Keys {
	t.Helper()
	k, err := peer.LoadKeys(files)
	assert.NilError(t, err)
	return k
}

// serve starts a server for routers and returns its URL.
func serve(t *testing.T, files peer.Files) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s := peer.ListenOn(conn, load(t, files), peer.RequireRole(h, peer.RoleRouter))
	t.Cleanup(func() { _ = s.Close() })
	return peer.BaseURL(s.Addr().String())
}

// get returns the status of one request over a new connection.
func get(t *testing.T, url string, files peer.Files) (int, error) {
	t.Helper()
	c := peer.NewClient(load(t, files))
	defer func() { _ = c.Close() }()
	resp, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// A peer gets something only with a valid certificate of the same authority in a
// role that may use the service; a server needs one as well.
func TestPeersAreCheckedBothWays(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	router := issue(t, ours, "r1", peer.RoleRouter)
	url := serve(t, issue(t, ours, "c1", peer.RoleControl))
	status, err := get(t, url, router)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	status, err = get(t, url, issue(t, ours, "ana", peer.RoleOperator))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusForbidden)

	foreign := issue(t, other, "r1", peer.RoleRouter)
	trusting := foreign
	trusting.Authority = router.Authority
	_, err = get(t, url, trusting)
	assert.ErrorContains(t, err, "certificate")
	_, err = get(t, serve(t, issue(t, other, "c1", peer.RoleControl)), router)
	assert.ErrorContains(t, err, "unknown authority")
}

func TestExpiredCertificatesAreRefusedBothWays(t *testing.T) {
	a := newAuthority(t)
	var old, oldServer peer.Files
	synctest.Test(t, func(t *testing.T) { // the time in here is long past
		old, oldServer = issue(t, a, "r1", peer.RoleRouter), issue(t, a, "c1", peer.RoleControl)
	})
	_, err := get(t, serve(t, issue(t, a, "c2", peer.RoleControl)), old)
	assert.ErrorContains(t, err, "expired")
	_, err = get(t, serve(t, oldServer), issue(t, a, "r2", peer.RoleRouter))
	assert.ErrorContains(t, err, "expired")
}

// shown returns the certificate that the next connection shows.
func shown(t *testing.T, k *peer.Keys) string {
	t.Helper()
	c, err := k.ClientConfig().GetClientCertificate(nil)
	assert.NilError(t, err)
	return c.Leaf.SerialNumber.String()
}

// replace puts the content of one file in the place of another, as an operator does.
func replace(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(to+".new", b, 0o600))
	assert.NilError(t, os.Rename(to+".new", to))
}

func TestKeysRotateOnceThePairIsWhole(t *testing.T) {
	a := newAuthority(t)
	used, next := issue(t, a, "r1", peer.RoleRouter), issue(t, a, "next", peer.RoleRouter)
	want := shown(t, load(t, next))
	synctest.Test(t, func(t *testing.T) {
		k := load(t, used)
		first := shown(t, k)
		replace(t, next.Certificate, used.Certificate)
		time.Sleep(reloadInterval)
		assert.Equal(t, shown(t, k), first)
		replace(t, next.Key, used.Key)
		time.Sleep(reloadInterval)
		assert.Equal(t, shown(t, k), want)
	})
}

// Files that are replaced while a set is being read are read again. The set's last
// file is a pipe here, so that the replacement falls between two reads.
func TestKeysReplacedDuringReadAreReadAgain(t *testing.T) {
	a := newAuthority(t)
	used, next := issue(t, a, "r1", peer.RoleRouter), issue(t, a, "next", peer.RoleRouter)
	want := shown(t, load(t, next))
	authority := used.Authority
	used.Authority = filepath.Join(t.TempDir(), "pipe")
	assert.NilError(t, syscall.Mkfifo(used.Authority, 0o600))
	synctest.Test(t, func(t *testing.T) {
		loaded := make(chan *peer.Keys)
		go func() {
			k, err := peer.LoadKeys(used)
			assert.Check(t, err)
			loaded <- k
		}()
		pipe, err := os.OpenFile(used.Authority, os.O_WRONLY, 0) // opens once the pair has been read
		assert.NilError(t, err)
		for _, f := range [][2]string{{next.Certificate, used.Certificate}, {next.Key, used.Key}, {authority, used.Authority}} {
			replace(t, f[0], f[1])
		}
		b, err := os.ReadFile(authority)
		assert.NilError(t, err)
		_, err = pipe.Write(b)
		assert.NilError(t, err)
		assert.NilError(t, pipe.Close())
		k := <-loaded
		time.Sleep(reloadInterval)
		assert.Equal(t, shown(t, k), want)
	})
}
