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

// unpackedBytes bounds a document that a peer sends, in bytes before compression.
const unpackedBytes = 64 << 20

// pack encodes a whole document for a peer. It is compressed because drpc refuses messages above 4 MiB, and a document with
// 40,000 adapters has about that size.
func pack(d *document.Document) ([]byte, error) {
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

func unpack(data []byte, version int64) (*document.Document, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "document of a peer")
	}

	text, err := io.ReadAll(io.LimitReader(reader, unpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "document of a peer")
	}

	return store.DecodeSnapshot(text, version)
}
