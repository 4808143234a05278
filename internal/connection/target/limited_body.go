package target

import (
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// limitedBody fails when more than a number of bytes are read. The Connect client reads a
// message that exceeds its limit to the end, which a target may never send.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.Errorf("response exceeds %d bytes", maxMessageBytes)
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// isStream reports whether a response consists of several messages. Each is limited by the
// Connect client, and their number is not.
func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "application/connect+")
}
