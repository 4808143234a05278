// Package certs creates the certificate authority and the certificates with which the
// processes of the system authenticate each other.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/chicoryswitch/chicoryswitch/internal/connection/peer"
)

// Validity periods of certificates.
const (
	authorityLifetime   = 10 * 365 * 24 * time.Hour
	certificateLifetime = 365 * 24 * time.Hour
	clockSkewAllowance  = time.Hour // certificates are valid from this long before their creation
)

const (
	keyMode  = 0o600
	certMode = 0o644
	dirMode  = 0o755
)

// Authority signs certificates. Its files are ca.pem and ca-key.pem.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

// OpenAuthority loads the authority in dir, or creates one if there is none.
func OpenAuthority(dir string) (*Authority, error) {
	certPath := filepath.Join(dir, "ca.pem")
	if _, err := os.Stat(certPath); err == nil {
		return readAuthority(dir)
	}
	if _, err := os.Stat(filepath.Join(dir, "ca-key.pem")); err == nil {
		return nil, errors.Errorf("%s has ca-key.pem but not its certificate ca.pem", dir)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Trace(err)
	}
	return createAuthority(dir)
}

func createAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tmpl, err := newTemplate(pkix.Name{CommonName: "chicoryswitch authority"}, authorityLifetime)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := writeCertAndKey(dir, "ca", der, key); err != nil {
		return nil, errors.Trace(err)
	}
	return readAuthority(dir)
}

func readAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, "ca-key.pem"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.Errorf("ca.pem or ca-key.pem in %s is not valid PEM", dir)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Authority{cert: cert, key: key, dir: dir}, nil
}

// Issue creates a key and a certificate for one process, writes them to ID-key.pem and
// ID.pem in the directory of the authority and returns their paths.
func (a *Authority) Issue(id peer.Identity) (peer.Files, error) {
	if !isValidFileName(id.ID) {
		return peer.Files{}, errors.Errorf("identity %q is not usable as a file name", id.ID)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return peer.Files{}, errors.Trace(err)
	}
	name := pkix.Name{CommonName: id.ID, OrganizationalUnit: []string{string(id.Role)}}
	tmpl, err := newTemplate(name, certificateLifetime)
	if err != nil {
		return peer.Files{}, errors.Trace(err)
	}
	tmpl.DNSNames = []string{peer.ServerName}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return peer.Files{}, errors.Trace(err)
	}
	if err := writeCertAndKey(a.dir, id.ID, der, key); err != nil {
		return peer.Files{}, errors.Trace(err)
	}
	return peer.Files{
		Certificate: filepath.Join(a.dir, id.ID+".pem"),
		Key:         filepath.Join(a.dir, id.ID+"-key.pem"),
		Authority:   filepath.Join(a.dir, "ca.pem"),
	}, nil
}

// isValidFileName reports whether the files of id are in the directory of the authority
// and differ from those of the authority and of other identities.
func isValidFileName(id string) bool {
	return id == filepath.Base(id) && id != "." && id != ".." && id != "ca" && !strings.HasSuffix(id, "-key")
}

func newTemplate(name pkix.Name, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Trace(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      name,
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func writeCertAndKey(dir, name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Trace(err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(filepath.Join(dir, name+"-key.pem"), keyPEM, keyMode); err != nil {
		return errors.Trace(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return errors.Trace(os.WriteFile(filepath.Join(dir, name+".pem"), certPEM, certMode))
}
