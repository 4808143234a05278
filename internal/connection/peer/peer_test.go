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

// reloadInterval is longer than the interval at which the package checks its files.
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

func load(t *testing.T, files peer.Files) *peer.Credentials {
	t.Helper()
	creds, err := peer.LoadCredentials(files)
	assert.NilError(t, err)
	return creds
}

// serve starts a server that only routers may use and returns its URL.
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

// TestPeersAuthenticateEachOther checks that a client is served only with a certificate
// of the same authority and an allowed role, and that the client checks the server's
// certificate as well.
func TestPeersAuthenticateEachOther(t *testing.T) {
	own, other := newAuthority(t), newAuthority(t)
	router := issue(t, own, "r1", peer.RoleRouter)
	url := serve(t, issue(t, own, "c1", peer.RoleControl))
	status, err := get(t, url, router)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	status, err = get(t, url, issue(t, own, "ana", peer.RoleOperator))
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

func TestExpiredCertificatesAreRejectedByBothSides(t *testing.T) {
	a := newAuthority(t)
	var old, oldServer peer.Files
	synctest.Test(t, func(t *testing.T) { // its clock starts in 2000, so these have expired
		old, oldServer = issue(t, a, "r1", peer.RoleRouter), issue(t, a, "c1", peer.RoleControl)
	})
	_, err := get(t, serve(t, issue(t, a, "c2", peer.RoleControl)), old)
	assert.ErrorContains(t, err, "expired")
	_, err = get(t, serve(t, oldServer), issue(t, a, "r2", peer.RoleRouter))
	assert.ErrorContains(t, err, "expired")
}

// presentedSerial returns the serial number of the certificate that the next connection
// will present.
func presentedSerial(t *testing.T, creds *peer.Credentials) string {
	t.Helper()
	c, err := creds.ClientConfig().GetClientCertificate(nil)
	assert.NilError(t, err)
	return c.Leaf.SerialNumber.String()
}

// replace atomically replaces the file to with the content of the file from.
func replace(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(to+".new", b, 0o600))
	assert.NilError(t, os.Rename(to+".new", to))
}

// TestCredentialsRotateOnlyWhenCertificateAndKeyMatch guards against using a new
// certificate with the old key while only one of the files has been replaced.
func TestCredentialsRotateOnlyWhenCertificateAndKeyMatch(t *testing.T) {
	a := newAuthority(t)
	used, next := issue(t, a, "r1", peer.RoleRouter), issue(t, a, "next", peer.RoleRouter)
	want := presentedSerial(t, load(t, next))
	synctest.Test(t, func(t *testing.T) {
		creds := load(t, used)
		first := presentedSerial(t, creds)
		replace(t, next.Certificate, used.Certificate)
		time.Sleep(reloadInterval)
		assert.Equal(t, presentedSerial(t, creds), first)
		replace(t, next.Key, used.Key)
		time.Sleep(reloadInterval)
		assert.Equal(t, presentedSerial(t, creds), want)
	})
}

// TestFilesReplacedDuringLoadAreReloaded guards against missing a change that is made
// while the files are being read. The file that is read last is a pipe, so that the
// replacement happens between two reads.
func TestFilesReplacedDuringLoadAreReloaded(t *testing.T) {
	a := newAuthority(t)
	used, next := issue(t, a, "r1", peer.RoleRouter), issue(t, a, "next", peer.RoleRouter)
	want := presentedSerial(t, load(t, next))
	authority := used.Authority
	used.Authority = filepath.Join(t.TempDir(), "pipe")
	assert.NilError(t, syscall.Mkfifo(used.Authority, 0o600))
	synctest.Test(t, func(t *testing.T) {
		loaded := make(chan *peer.Credentials)
		go func() {
			creds, err := peer.LoadCredentials(used)
			assert.Check(t, err)
			loaded <- creds
		}()
		pipe, err := os.OpenFile(used.Authority, os.O_WRONLY, 0) // blocks until certificate and key have been read
		assert.NilError(t, err)
		for _, f := range [][2]string{{next.Certificate, used.Certificate}, {next.Key, used.Key}, {authority, used.Authority}} {
			replace(t, f[0], f[1])
		}
		b, err := os.ReadFile(authority)
		assert.NilError(t, err)
		_, err = pipe.Write(b)
		assert.NilError(t, err)
		assert.NilError(t, pipe.Close())
		creds := <-loaded
		time.Sleep(reloadInterval)
		assert.Equal(t, presentedSerial(t, creds), want)
	})
}
