package follow

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
)

// maxDocumentBytes bounds a document that a peer sends, before compression.
const maxDocumentBytes = 64 << 20

// compressDocument encodes a whole document for a peer. It is compressed because drpc refuses messages above 4 MiB, and a
// document with 40,000 adapters has about that size.
func compressDocument(d *document.Document) ([]byte, error) {
	var buffer bytes.Buffer

	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}

	if err := json.NewEncoder(writer).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode document")
	}

	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}

	return buffer.Bytes(), nil
}

func decompressDocument(data []byte, version int64) (*document.Document, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the document of a peer")
	}

	text, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the document of a peer")
	}

	return store.DecodeSnapshot(text, version)
}
