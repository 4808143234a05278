package client

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// keyRandomBytes is the number of random bytes in a key.
const keyRandomBytes = 16

// NewKey returns an idempotency key for a call that must not be executed twice: the
// Unix time in milliseconds as 12 hexadecimal digits, a hyphen and 32 random
// hexadecimal digits. Store it before the call to be able to resend the call after
// a crash.
func NewKey() string {
	var b [keyRandomBytes]byte
	_, _ = rand.Read(b[:])
	return fmt.Sprintf("%012x-%s", time.Now().UnixMilli(), hex.EncodeToString(b[:]))
}
