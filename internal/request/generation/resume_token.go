package generation

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
	"github.com/chicoryswitch/chicoryswitch/internal/fault"
)

const (
	// minTokenKey is the shortest accepted key, in bytes.
	minTokenKey = 16
	// digestSize is the size of a request digest, in bytes.
	digestSize = 16
)

// tokenCodec seals and opens resume tokens and starts the hash chains of proofs. Routers
// with the same key accept each other's tokens and proofs.
type tokenCodec struct {
	aead     cipher.AEAD
	chainKey []byte
}

func newTokenCodec(key []byte) (*tokenCodec, error) {
	if len(key) < minTokenKey {
		return nil, errors.Errorf("resume token key has %d bytes, at least %d are needed", len(key), minTokenKey)
	}
	block, err := aes.NewCipher(deriveKey(key, "resume token"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &tokenCodec{aead: aead, chainKey: deriveKey(key, "prefix proof")}, nil
}

// deriveKey returns the subkey of key for a purpose.
func deriveKey(key []byte, purpose string) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte(purpose))
	return m.Sum(nil)
}

// seal encodes a state as an encrypted and authenticated token.
func (c *tokenCodec) seal(s *chicoryv1.ResumeState) (string, error) {
	plain, err := proto.Marshal(s)
	if err != nil {
		return "", errors.Trace(err)
	}
	nonce := make([]byte, c.aead.NonceSize(), c.aead.NonceSize()+len(plain)+c.aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return "", errors.Trace(err)
	}
	return base64.RawURLEncoding.EncodeToString(c.aead.Seal(nonce, nonce, plain, nil)), nil
}

// open authenticates a token and returns its state. It fails with ResumeTokenInvalid, with
// PermissionDenied if the token belongs to another team, or with ResumeTokenExpired.
func (c *tokenCodec) open(token, team string) (*chicoryv1.ResumeState, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < c.aead.NonceSize() {
		return nil, fault.New(fault.ResumeTokenInvalid, "resume token is malformed")
	}
	nonce, sealed := raw[:c.aead.NonceSize()], raw[c.aead.NonceSize():]
	plain, err := c.aead.Open(nil, nonce, sealed, nil)
	if err != nil {
		return nil, fault.New(fault.ResumeTokenInvalid, "resume token failed authentication")
	}
	s := &chicoryv1.ResumeState{}
	if err := proto.Unmarshal(plain, s); err != nil {
		return nil, fault.New(fault.ResumeTokenInvalid, "resume token can't be decoded")
	}
	if s.GetTeam() != team {
		return nil, fault.New(fault.PermissionDenied, "resume token belongs to another team")
	}
	if time.Now().UnixMilli() >= s.GetDeadlineUnixMs() {
		return nil, fault.New(fault.ResumeTokenExpired, "the generation's time is over")
	}
	return s, nil
}

// newPrefix returns the empty prefix of a generation. Its hash chain starts from an HMAC
// of the generation's ID.
func (c *tokenCodec) newPrefix(generationID string) *prefix {
	m := hmac.New(sha256.New, c.chainKey)
	m.Write([]byte(generationID))
	p := &prefix{}
	m.Sum(p.chainHash[:0])
	return p
}

// requestDigest returns a digest of a request's route, prompt and token limit. A resume
// is accepted only with a request of the same digest.
func requestDigest(route, prompt string, maxTokens uint32) []byte {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{route, prompt} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(size[:], uint64(maxTokens))
	h.Write(size[:])
	return h.Sum(nil)[:digestSize]
}
