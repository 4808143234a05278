package declared

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxDocumentBytes is the maximum size of a decompressed document. The limit on what
// operators may send is lower.
const maxDocumentBytes = 16 << 20

// Compress returns a declaration that holds the document, compressed if that makes it
// smaller. It is compressed here once, because it is written to the disk of each control
// VM and sent to each entry VM.
func Compress(version uint64, document []byte) (*chicoryv1.Declaration, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(document); err != nil {
		return nil, errors.Annotatef(err, "compress version %d", version)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotatef(err, "compress version %d", version)
	}
	if compressed.Len() >= len(document) {
		return &chicoryv1.Declaration{Version: version, Document: document}, nil
	}
	return &chicoryv1.Declaration{Version: version, Packed: compressed.Bytes()}, nil
}

// Decompress returns the document of a declaration as the operator sent it.
func Decompress(d *chicoryv1.Declaration) ([]byte, error) {
	if len(d.GetPacked()) == 0 {
		return d.GetDocument(), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(d.GetPacked()))
	if err != nil {
		return nil, errors.Annotatef(err, "decompress version %d", d.GetVersion())
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "decompress version %d", d.GetVersion())
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.Errorf("version %d exceeds %d bytes", d.GetVersion(), maxDocumentBytes)
	}
	return document, nil
}
