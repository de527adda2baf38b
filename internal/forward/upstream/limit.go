package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

const (
	// headByteCost is the memory that a byte of a head takes while it is parsed: a field of a few bytes takes an entry of a map.
	headByteCost = 16
	// headFieldCost is the memory that a field of a parsed head takes besides its bytes, and headCopies the number of copies of its bytes.
	headFieldCost = 128
	headCopies    = 2
	// freeHeadBytes is the memory that each head may take without a reservation: that for the first 8 KB.
	freeHeadBytes = headByteCost * 8 << 10
)

// maxHeadBytes is the size of a response head, informational responses before it included, above which the response is invalid.
const maxHeadBytes = 64 << 10

// errHeadTooLong is returned when a server sends more bytes than maxHeadBytes without the end of a response head.
var errHeadTooLong = errors.New("response head is too long")

// errHeadMemory is returned for a large head if those of other responses take the memory for them.
var errHeadMemory = errors.New("the heads of other responses take the memory for response heads")

// headLimiter reads from a connection and limits the bytes of a response head, which a faulty server may send without end.
type headLimiter struct {
	from io.Reader
	// left is the number of bytes that may still be read if limited is true.
	left    int
	limited bool
	// kept is the memory of the head, until the end of the exchange.
	kept memory.Reservation
}

// Read implements io.Reader.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.limited {
		return l.from.Read(buffer)
	}

	if l.left <= 0 {
		return 0, errHeadTooLong
	}

	n, err := l.from.Read(buffer[:min(len(buffer), l.left)])
	l.left -= n

	if !l.kept.Resize(headByteCost * l.bytes()) {
		return 0, errHeadMemory
	}

	return n, err
}

// bytes returns the number of bytes read since start.
func (l *headLimiter) bytes() int64 {
	return maxHeadBytes - int64(l.left)
}

// start limits the bytes from now on.
func (l *headLimiter) start() {
	l.left, l.limited = maxHeadBytes, true
}

// stop ends the limit after a head with the given fields.
func (l *headLimiter) stop(header http.Header) {
	fields := int64(0)

	for _, values := range header {
		fields += int64(len(values))
	}

	l.limited = false
	// It takes no more than was reserved byte by byte.
	l.kept.Resize(min(headCopies*l.bytes()+headFieldCost*fields, headByteCost*l.bytes()))
}
