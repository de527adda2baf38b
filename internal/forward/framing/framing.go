// Package framing decides whether a response body that was read to its end is complete.
package framing

import "net/http"

// Kind is how the end of a response body is marked.
type Kind string

// The kinds. Connection means that the body has neither a length nor chunks and ends with its connection.
const (
	Length     Kind = "length"
	Chunks     Kind = "chunks"
	Connection Kind = "connection"
)

// Of returns the kind of framing of a response that net/http has read over HTTP/1.
func Of(response *http.Response) Kind {
	switch {
	case len(response.TransferEncoding) > 0:
		return Chunks
	case response.ContentLength >= 0:
		return Length
	default:
		return Connection
	}
}
