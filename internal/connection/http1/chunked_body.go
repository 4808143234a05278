package http1

import (
	"io"
	"net/http/httputil"
	"net/textproto"
)

// chunkedBody reads a body in chunks. Unlike that of net/http, it limits and checks the trailers. Of httputil it
// uses the decoder of chunks, which is that of net/http, and not the proxy.
type chunkedBody struct {
	conn   *conn
	chunks io.Reader
	// end is the error of further reads once the last chunk was read.
	end error
}

func newChunkedBody(c *conn) *chunkedBody {
	return &chunkedBody{conn: c, chunks: httputil.NewChunkedReader(c.reader)}
}

// Read implements io.Reader. It returns io.EOF after the trailers.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		b.end = b.readTrailers()
		err = b.end
	}
	return n, err
}

// readTrailers reads and drops the trailers. It returns io.EOF if they are complete.
func (b *chunkedBody) readTrailers() error {
	if err := b.conn.beginTrailers(); err != nil {
		return err
	}
	_, err := textproto.NewReader(b.conn.reader).ReadMIMEHeader()
	switch err := b.conn.head.result(err); err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
