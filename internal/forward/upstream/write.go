package upstream

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// errRequestUnread is returned for a response whose server has not taken the whole request within writeFinishTimeout after its end.
var errRequestUnread = errors.New("the server has not taken the whole request")

// requestWrite is the writing of a request in the background.
type requestWrite struct {
	// done is closed once the request is written or that has failed, with err.
	done chan struct{}
	err  error
}

// writeInBackground begins to write a request.
func writeInBackground(to net.Conn, buffers net.Buffers) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}

	go func() {
		defer close(w.done)

		_, w.err = buffers.WriteTo(to)
	}()

	return w
}

// wait waits for up to writeFinishTimeout until the request is written, and returns an error unless it is. A request without a write was written
// before.
func (w *requestWrite) wait() error {
	if w == nil {
		return nil
	}

	timer := time.NewTimer(writeFinishTimeout)
	defer timer.Stop()

	select {
	case <-w.done:
		return errors.Wrap(w.err, "write request")
	case <-timer.C:
		return errRequestUnread
	}
}

// finish is wait and reports whether the request is written.
func (w *requestWrite) finish() bool {
	return w.wait() == nil
}

// send writes the request. A large body is written in the background.
func (x *exchange) send() error {
	x.sentAt = time.Now()
	left := x.delivery.Deadline.Sub(x.sentAt)
	head := requestHead(x.delivery, x.client.Codec.Encode(x.delivery, left))

	if err := x.conn.SetDeadline(x.delivery.Deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}

	if len(x.delivery.Body) <= largeBodyBytes {
		_, err := x.conn.Write(append(head, x.delivery.Body...))
		return errors.Wrap(err, "write request")
	}

	if err := x.conn.awaitReader(max(left, ackTimeout)); err != nil {
		return err
	}

	x.write = writeInBackground(x.conn.Conn, net.Buffers{head, x.delivery.Body})

	return nil
}

// requestHead returns the request line and the headers.
func requestHead(delivery *message.Delivery, headers []message.Header) []byte {
	var head bytes.Buffer

	head.Grow(512 + len(delivery.Body))
	writeLine(&head, delivery.Method, " ", delivery.Target, " HTTP/1.1")
	writeLine(&head, "Host: ", delivery.Host)

	for _, header := range headers {
		writeLine(&head, header.Name, ": ", header.Value)
	}

	if len(delivery.Body) > 0 || delivery.Method == http.MethodPost || delivery.Method == http.MethodPut {
		writeLine(&head, "Content-Length: ", strconv.Itoa(len(delivery.Body)))
	}

	writeLine(&head)

	return head.Bytes()
}

func writeLine(into *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		into.WriteString(part)
	}

	into.WriteString("\r\n")
}
