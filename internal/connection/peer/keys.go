// Package peer connects the system's own processes: Connect services over
// HTTP/3 on QUIC with mutual TLS. A peer without a certificate of the system's
// authority gets nothing. Keys and certificates are read again when their files
// change, so they rotate without a restart.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ServerName is the DNS name in every certificate of the system. Processes know
// each other by IP number, so the name carries no address.
const ServerName = "chicory-peer"

// reloadInterval is how long a loaded set of keys is used before its files are
// looked at again.
const reloadInterval = 5 * time.Second

// Files names the PEM files of one process.
type Files struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Keys holds the certificate, key and authority of this process.
// It is safe for concurrent use.
type Keys struct {
	files Files

	mu       sync.Mutex // guards the fields below
	cert     *tls.Certificate
	pool     *x509.CertPool
	modTimes [3]time.Time
	checked  time.Time
}

// LoadKeys reads the files and returns an error when one is missing or damaged.
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

// load reads all three files. The caller holds mu or is the only user.
func (k *Keys) load() error {
	modTimes := k.stat() // before reading: what is replaced meanwhile is read again
	cert, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return errors.Annotate(err, "certificate and key")
	}
	pem, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return errors.Annotate(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.Errorf("authority %s holds no certificate", k.files.Authority)
	}
	k.cert = &cert
	k.pool = pool
	k.modTimes = modTimes
	k.checked = time.Now()
	return nil
}

func (k *Keys) stat() [3]time.Time {
	var times [3]time.Time
	for i, p := range k.paths() {
		if info, err := os.Stat(p); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the keys in use, read again if their files have changed. A
// set that can't be read, as while files are being replaced, leaves the old set
// in use.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) >= reloadInterval {
		k.checked = time.Now()
		if k.stat() != k.modTimes {
			_ = k.load()
		}
	}
	return k.cert, k.pool
}

// ServerConfig returns the TLS settings of a listener that demands a
// certificate of the system's authority.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// ClientConfig returns the TLS settings of a dialer that shows its certificate
// and accepts only servers of the system's authority.
func (k *Keys) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ServerName,
		// The chain is verified in VerifyConnection against the authority in use.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
	}
}

func (k *Keys) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("server shows no certificate")
	}
	_, pool := k.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		DNSName:       ServerName,
		Roots:         pool,
		Intermediates: intermediates,
	})
	return errors.Trace(err)
}
