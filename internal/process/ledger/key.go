package ledger

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Format of a key: its creation time in Unix milliseconds as 12 hexadecimal digits, a
// dash, and random hexadecimal digits.
const (
	keyTimeDigits      = 12
	keyRandomMinDigits = 16
	keyRandomMaxDigits = 64
	keyRandomBytes     = 16
)

// NewKey returns a random key with the given creation time.
func NewKey(now time.Time) string {
	var b [keyRandomBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return FormatKey(now, b[:])
}

// FormatKey returns the key with the given creation time and random bytes.
func FormatKey(now time.Time, random []byte) string {
	digits := strconv.FormatInt(now.UnixMilli(), 16)
	for len(digits) < keyTimeDigits {
		digits = "0" + digits
	}
	return digits + "-" + hex.EncodeToString(random)
}

// ParseKey returns the creation time of a key in Unix milliseconds. It accepts only the
// canonical form: lowercase digits and no other characters.
func ParseKey(key string) (unixMs int64, err error) {
	random := len(key) - keyTimeDigits - 1
	if random < keyRandomMinDigits || random > keyRandomMaxDigits || key[keyTimeDigits] != '-' {
		return 0, errors.Errorf("malformed key: want %d hexadecimal digits, a dash and %d to %d hexadecimal digits",
			keyTimeDigits, keyRandomMinDigits, keyRandomMaxDigits)
	}
	if !isLowerHex(key[:keyTimeDigits]) || !isLowerHex(key[keyTimeDigits+1:]) {
		return 0, errors.New("malformed key: contains characters other than lowercase hexadecimal digits and the dash")
	}
	ms, err := strconv.ParseInt(key[:keyTimeDigits], 16, 64)
	return ms, errors.Trace(err)
}

func isLowerHex(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
