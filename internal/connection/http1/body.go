package http1

import (
	"io"

	"github.com/juju/errors"
)

// Body is a complete response body.
type Body struct {
	chunks [][]byte
	size   int64
}

// Len returns the size in bytes; 0 for nil.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// WriteTo implements io.WriterTo.
func (b *Body) WriteTo(w io.Writer) (n int64, err error) {
	if b == nil {
		return 0, nil
	}
	for _, chunk := range b.chunks {
		written, err := w.Write(chunk)
		n += int64(written)
		if err != nil {
			return n, errors.Trace(err)
		}
	}
	return n, nil
}

// uncountedBytes is the size up to which a body is not counted against the memory of all
// bodies, so that targets that send without end don't fail the usual, short responses of
// others.
const uncountedBytes = 16 << 10

// Sizes of the chunks in which a body is read. Bodies are mostly smaller than the first one.
const (
	firstChunkBytes = 1 << 10
	maxChunkBytes   = 32 << 10
)

// ReadAll reads the whole body. It fails with a *LimitError if the body is longer than limit
// bytes, or if all bodies that are being read take more memory than the pool allows.
func (r *Response) ReadAll(limit int64) (*Body, error) {
	body := &Body{}
	counted, err := r.readInto(body, limit)
	// Chunks become free before their memory does, so that another body takes them.
	defer r.exchange.pool.bodyMemory.release(counted)
	if err != nil {
		r.exchange.pool.chunks.put(body.chunks)
		return nil, errors.Annotatef(err, "read body from target %s", r.exchange.address)
	}
	return body, nil
}

// readInto returns the bytes that it took from the memory of all bodies.
func (r *Response) readInto(body *Body, limit int64) (counted int64, err error) {
	if r.length > limit {
		return 0, &LimitError{LimitBody, limit}
	}
	pool := r.exchange.pool
	for size := firstChunkBytes; ; size = min(2*size, maxChunkBytes) {
		if body.size >= uncountedBytes {
			if err := pool.bodyMemory.take(int64(size)); err != nil {
				return counted, err
			}
			counted += int64(size)
		}
		chunk, err := readChunk(r.body, pool.chunks.get(size))
		body.chunks = append(body.chunks, chunk)
		body.size += int64(len(chunk))
		switch {
		case body.size > limit:
			return counted, &LimitError{LimitBody, limit}
		case err == io.EOF:
			return counted, nil
		case err != nil:
			return counted, err
		}
	}
}

// readChunk fills chunk. The error is that of the read that ended the chunk early.
func readChunk(from io.Reader, chunk []byte) ([]byte, error) {
	for n := 0; ; {
		read, err := from.Read(chunk[n:])
		n += read
		if err != nil || n == len(chunk) {
			return chunk[:n], err
		}
	}
}

// Discard reads the body and drops it. It fails with a *LimitError if the body is longer
// than limit bytes.
func (r *Response) Discard(limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, limit+1))
	if err == nil && n > limit {
		err = &LimitError{LimitBody, limit}
	}
	return errors.Annotatef(err, "read body from target %s", r.exchange.address)
}
