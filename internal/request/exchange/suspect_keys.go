package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// requestKeyBytes is the length of the hash of a request in its key.
const requestKeyBytes = 16

// requestKey returns the key of all requests with the same method, host, path, team and body. A
// caller that sends one again gives it another ID. Targets can't tell the callers of a team apart.
func (a *AdmittedRequest) requestKey() string {
	h := sha256.New()
	for _, field := range []string{a.Method, a.Host, a.URI, a.Team} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // a hash returns no errors
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(a.Body)
	return hex.EncodeToString(h.Sum(nil)[:requestKeyBytes])
}
