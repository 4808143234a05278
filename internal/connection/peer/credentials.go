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
type Credentials struct {
	files Files

	mu        sync.Mutex // guards the fields below
	cert      *tls.Certificate
	roots     *x509.CertPool
	modTimes  [3]time.Time // of paths, before the last load
	checkedAt time.Time    // when modTimes were last compared
}

// LoadCredentials reads the files. It returns an error when one is missing or invalid.
func LoadCredentials(files Files) (*Credentials, error) {
	c := &Credentials{files: files}
	if err := c.load(); err != nil {
		return nil, errors.Trace(err)
	}
	return c, nil
}

func (c *Credentials) paths() [3]string {
	return [3]string{c.files.Certificate, c.files.Key, c.files.Authority}
}

// load reads all three files. The caller must hold mu unless c is not shared yet.
func (c *Credentials) load() error {
	modTimes := c.stat() // before reading, so that a file replaced meanwhile is reloaded later
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return errors.Annotate(err, "certificate and key")
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return errors.Annotate(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority file %s contains no certificate", c.files.Authority)
	}
	c.cert = &cert
	c.roots = roots
	c.modTimes = modTimes
	c.checkedAt = time.Now()
	return nil
}

// stat returns the modification times of the files, zero for a missing file.
func (c *Credentials) stat() [3]time.Time {
	var times [3]time.Time
	for i, p := range c.paths() {
		if info, err := os.Stat(p); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the certificate and the trusted roots, and reloads them first if
// their files have changed. If reloading fails, for example while only some of the
// files have been replaced, the old ones stay in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= reloadInterval {
		c.checkedAt = time.Now()
		if c.stat() != c.modTimes {
			_ = c.load()
		}
	}
	return c.cert, c.roots
}

// ServerConfig returns the TLS configuration of a listener that requires a client
// certificate of the system's authority.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := c.current()
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
func (c *Credentials) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ServerName,
		// VerifyConnection verifies the chain against the current roots, which may have
		// been reloaded.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
	}
}

// verifyServer verifies the server's certificate chain and its name.
func (c *Credentials) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	_, roots := c.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         roots,
		Intermediates: intermediates,
	})
	return errors.Trace(err)
}
