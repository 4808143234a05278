package declared

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/juju/errors"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// maxDocumentBytes bounds a document that is unpacked; operators may send less.
const maxDocumentBytes = 16 << 20

// Pack returns the declaration of a document, packed once where that is shorter: it is
// written to each control VM's disk and sent to each entry VM.
func Pack(version uint64, document []byte) (*chicoryv1.Declaration, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(document); err != nil {
		return nil, errors.Annotatef(err, "pack version %d", version)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Annotatef(err, "pack version %d", version)
	}
	if packed.Len() >= len(document) {
		return &chicoryv1.Declaration{Version: version, Document: document}, nil
	}
	return &chicoryv1.Declaration{Version: version, Packed: packed.Bytes()}, nil
}

// Unpack returns a declaration's document as the operator sent it.
func Unpack(d *chicoryv1.Declaration) ([]byte, error) {
	if len(d.GetPacked()) == 0 {
		return d.GetDocument(), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(d.GetPacked()))
	if err != nil {
		return nil, errors.Annotatef(err, "unpack version %d", d.GetVersion())
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "unpack version %d", d.GetVersion())
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.Errorf("version %d is above %d bytes", d.GetVersion(), maxDocumentBytes)
	}
	return document, nil
}
