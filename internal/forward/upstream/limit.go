package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes is the size of a response head, informational responses before it included, above which the response is invalid.
const maxHeadBytes = 64 << 10

// errHeadTooLong is returned when a server sends more bytes than maxHeadBytes without the end of a response head.
var errHeadTooLong = errors.New("response head is too long")

// headLimiter reads from a connection and limits the bytes of a response head, which a faulty server may send without end.
type headLimiter struct {
	from io.Reader
	// left is the number of bytes that may still be read if limited is true.
	left    int
	limited bool
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

	return n, err
}

// start limits the bytes from now on, and stop ends the limit.
func (l *headLimiter) start() {
	l.left, l.limited = maxHeadBytes, true
}

func (l *headLimiter) stop() {
	l.limited = false
}
