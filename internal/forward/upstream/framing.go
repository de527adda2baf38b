package upstream

import "net/http"

// Framing is how the end of a response body is marked.
type Framing string

// The framings. FramedByConnection means that the body has neither a length nor chunks and ends with its connection.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// framingOf returns the framing of the body of a response that http.ReadResponse has read.
func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0:
		return FramedByLength
	default:
		return FramedByConnection
	}
}
