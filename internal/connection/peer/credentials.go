// Package peer connects the processes of the system with each other: Connect services
// over HTTP/3 (QUIC) with mutual TLS. Peers without a certificate of the system's
// certificate authority are rejected. Keys and certificates are reloaded when their
// files change, so they can be rotated without a restart. Where no certificates are
// deployed, the package offers plaintext HTTP/1.1.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ServerName is the DNS name in every certificate of the system. Processes connect to
// IP addresses, so the same name is used for all of them.
const ServerName = "chicory-peer"

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = 5 * time.Second

// Files holds the paths of one process's PEM files.
type Files struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Credentials holds the certificate, private key and certificate authority of this
// process. It is safe for concurrent use.
type Keys struct {
	files Files

	mu        sync.Mutex // guards the fields below
	cert      *tls.Certificate
	roots     *x509.CertPool
	modTimes  [3]time.Time // of paths, before the last load
	checkedAt time.Time    // when modTimes were last compared
}

// LoadCredentials reads the files. It returns an error when one is missing or invalid.
func LoadKeys(files Files) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.load(); err != nil {
		return nil, errors.Trace(err)
	}
	return k, nil
}

func (k *Keys) paths() [3]string {
	return [3]string{k.files.Certificate, k.files.Key, k.files.Authority}
}

// load reads all three files. The caller must hold mu unless k is not shared yet.
func (k *Keys) load() error {
	modTimes := k.stat() // before reading, so that a file replaced meanwhile is reloaded later
	cert, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return errors.Annotate(err, "certificate and key")
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return errors.Annotate(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority file %s contains no certificate", k.files.Authority)
	}
	k.cert = &cert
	k.roots = roots
	k.modTimes = modTimes
	k.checkedAt = time.Now()
	return nil
}

// stat returns the modification times of the files, zero for a missing file.
func (k *Keys) stat() [3]time.Time {
	var times [3]time.Time
	for i, p := range k.paths() {
		if info, err := os.Stat(p); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the certificate and the trusted roots, and reloads them first if
// their files have changed. If reloading fails, for example while only some of the
// files have been replaced, the old ones stay in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) >= reloadInterval {
		k.checkedAt = time.Now()
		if k.stat() != k.modTimes {
			_ = k.load()
		}
	}
	return k.cert, k.roots
}

// ServerConfig returns the TLS configuration of a listener that requires a client
// certificate of the system's authority.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client that presents its certificate
// and accepts only server certificates of the system's authority.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ServerName,
		// VerifyConnection verifies the chain against the current roots, which may have
		// been reloaded.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
	}
}

// verifyServer verifies the server's certificate chain and its name.
func (k *Keys) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	_, roots := k.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         roots,
		Intermediates: intermediates,
	})
	return errors.Trace(err)
}
