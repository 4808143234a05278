package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"slices"
	"strings"
)

const (
	// requestKeyPrefix and lastPartKeyPrefix begin the keys of whole requests and of the parts
	// of prompts that belong to one request or session. Other keys are shared parts.
	requestKeyPrefix  = "request/"
	lastPartKeyPrefix = "last/"
	// requestKeyBytes is the length of the hash of a request in its key.
	requestKeyBytes = 16
)

// suspectKeys returns what may crash the targets that run the request: the shared parts of its
// prompt, its last part, and the whole request.
func (a *AdmittedRequest) suspectKeys() []string {
	keys := slices.Clone(a.SharedParts)
	if a.PromptID != "" {
		keys = append(keys, lastPartKeyPrefix+a.PromptID)
	}
	return append(keys, a.requestKey())
}

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
	return requestKeyPrefix + hex.EncodeToString(h.Sum(nil)[:requestKeyBytes])
}

// loggedKey returns the key of the whole request, which shows in the log that a caller sends the
// same request again.
func (a *AdmittedRequest) loggedKey() string { return a.keys[len(a.keys)-1] }

// IsShared reports whether a key is that of a part of prompts that several requests share, and not that of one
// request or session.
func IsShared(key string) bool {
	return !strings.HasPrefix(key, requestKeyPrefix) && !strings.HasPrefix(key, lastPartKeyPrefix)
}
