package client

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// keyRandomBytes is the size of a key's random part.
const keyRandomBytes = 16

// NewKey returns a key for a call that must not be repeated: the time in
// milliseconds since 1970 as 12 hexadecimal digits, a hyphen and 32 random
// hexadecimal digits. Store it before the call to be able to ask again after a
// crash.
func NewKey() string {
	var b [keyRandomBytes]byte
	_, _ = rand.Read(b[:])
	return fmt.Sprintf("%012x-%s", time.Now().UnixMilli(), hex.EncodeToString(b[:]))
}
