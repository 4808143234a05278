package intake

import (
	"context"
	"io"

	"github.com/juju/errors"
)

// ErrTooLarge is the error of a body that exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

// Sizes of the chunks in which a body is received. Most bodies fit in the first one.
const (
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 64 << 10
)

// BodyReader receives a body in memory that is reserved before it is allocated. It takes at most twice
// what was received and maxChunkBytes.
type BodyReader struct {
	Hold *Hold
	// Length is the length that the client stated, negative if it stated none.
	Length int64
	// Limit is the largest body.
	Limit int64

	chunks   [][]byte
	received int64
}

// ReadAll returns the body. It fails with ErrNoRoom if there is no room for it, and with ErrTooLarge if
// it is larger than the limit. What is reserved stays until the hold is released.
func (b *BodyReader) ReadAll(ctx context.Context, from io.Reader) ([]byte, error) {
	for size := int64(firstChunkBytes); ; size = min(2*size, maxChunkBytes) {
		if b.Length >= 0 && (b.received >= b.Length/2 || b.Length <= firstChunkBytes) {
			return b.readRest(ctx, from)
		}
		chunk, err := b.grow(ctx, size)
		if err != nil {
			return nil, err
		}
		n, err := fill(from, chunk)
		b.chunks = append(b.chunks, chunk[:n])
		b.received += int64(n)
		switch {
		case b.received > b.Limit:
			return nil, errors.Trace(ErrTooLarge)
		case err == io.EOF:
			return b.join(ctx)
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}

// fill reads until b is full or a read fails, and returns the error of that read as it is: one that
// tells the end of the body from the end of a connection within the body.
func fill(from io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = from.Read(b[n:])
		n += read
	}
	return n, err
}

func (b *BodyReader) grow(ctx context.Context, n int64) ([]byte, error) {
	if err := b.Hold.Grow(ctx, n); err != nil {
		return nil, errors.Trace(err)
	}
	return make([]byte, n), nil
}

// readRest reads the second half of a body of known length.
func (b *BodyReader) readRest(ctx context.Context, from io.Reader) ([]byte, error) {
	body, err := b.grow(ctx, b.Length)
	if err != nil {
		return nil, err
	}
	b.moveTo(body)
	n, err := fill(from, body[b.received:])
	if b.received += int64(n); b.received < b.Length {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, errors.Trace(err)
	}
	if err == nil {
		// net/http notices that the client leaves once the end of the body was read.
		_, err = from.Read(make([]byte, 1))
	}
	if err != io.EOF {
		return nil, errors.Errorf("the body is longer than stated: %v", err)
	}
	return body, nil
}

// join returns the received chunks as one.
func (b *BodyReader) join(ctx context.Context) ([]byte, error) {
	if len(b.chunks) == 1 {
		return b.chunks[0], nil
	}
	body, err := b.grow(ctx, b.received)
	if err != nil {
		return nil, err
	}
	b.moveTo(body)
	return body, nil
}

// moveTo copies the chunks to the beginning of body and gives them back.
func (b *BodyReader) moveTo(body []byte) {
	var at int
	var capacity int64
	for _, chunk := range b.chunks {
		at += copy(body[at:], chunk)
		capacity += int64(cap(chunk))
	}
	b.chunks = nil
	b.Hold.Shrink(capacity)
}
