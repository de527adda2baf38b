package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// exchange is one request on its way.
type exchange struct {
	client   *Client
	conn     *conn
	delivery *message.Delivery
	emit     Emit
	// reply is the decoded head of the answer.
	reply ResponseInfo
	// write ends when the request is written; nil if it was written before the answer was read.
	write chan error
}

// run returns the last event, and whether the connection can be used again.
func (x *exchange) run() (message.Event, bool) {
	if err := x.send(); err != nil {
		return x.failed(err, "request was not written whole"), false
	}

	if x.emit(message.RequestSent{}) != nil {
		return x.failed(errLeft, "client left"), false
	}

	response, err := x.head() //nolint:bodyclose // the body ends with the connection, which is kept or closed by the caller
	if err != nil {
		return x.failed(err, "no answer"), false
	}

	reusable := !response.Close && response.ProtoAtLeast(1, 1)

	switch {
	case x.reply.Misdirected:
		return x.refused(fault.New(fault.NoServer, "another backend server has the address")), x.drain(response) && reusable
	case x.reply.NotRun:
		return x.refused(fault.New(fault.Overloaded, "backend server rejected the request with status %d", x.reply.Head.Status)), x.drain(response) && reusable
	case !x.reply.Authentic:
		return x.failed(nil, "answer is not the server's own"), false
	}

	if x.emit(message.ResponseStarted{Head: x.reply.Head}) != nil {
		return x.failed(errLeft, "client left"), false
	}

	if err := x.body(response.Body); err != nil {
		return x.failed(err, "answer ended early"), false
	}

	return message.Completed{}, x.written() && reusable
}

func (x *exchange) failed(err error, reason string) message.Event {
	if err == nil {
		return message.Failed{Err: fault.New(fault.BackendFailed, "%s", reason)}
	}

	return message.Failed{Err: fault.Wrap(err, fault.OutcomeUnknown, "%s", reason)}
}

func (x *exchange) refused(err *fault.Error) message.Event {
	return message.Refused{Err: err, ByBackend: true}
}

func (x *exchange) send() error {
	left := time.Until(x.delivery.Deadline)
	head := requestHead(x.delivery, x.client.Codec.Encode(x.delivery, left))

	if err := x.conn.SetDeadline(x.delivery.Deadline); err != nil {
		return errors.Wrap(err, "set deadline")
	}

	if len(x.delivery.Body) <= largeBody {
		_, err := x.conn.Write(append(head, x.delivery.Body...))
		return errors.Wrap(err, "write request")
	}

	x.write = make(chan error, 1)

	go func() {
		buffers := net.Buffers{head, x.delivery.Body}
		_, err := buffers.WriteTo(x.conn.Conn)
		x.write <- err
	}()

	return nil
}

// written reports whether the whole request is written, for which it waits a little.
func (x *exchange) written() bool {
	if x.write == nil {
		return true
	}

	select {
	case err := <-x.write:
		return err == nil
	case <-time.After(restTime):
		return false
	}
}

func requestHead(delivery *message.Delivery, headers []message.Header) []byte {
	var head bytes.Buffer

	head.Grow(512 + len(delivery.Body))
	line(&head, delivery.Method, " ", delivery.Target, " HTTP/1.1")
	line(&head, "Host: ", delivery.Host)

	for _, header := range headers {
		line(&head, header.Name, ": ", header.Value)
	}

	if len(delivery.Body) > 0 || delivery.Method == http.MethodPost || delivery.Method == http.MethodPut {
		line(&head, "Content-Length: ", strconv.Itoa(len(delivery.Body)))
	}

	line(&head)

	return head.Bytes()
}

func line(into *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		into.WriteString(part)
	}

	into.WriteString("\r\n")
}

// head reads answers until one belongs to the request: a late answer to an earlier request may come first.
func (x *exchange) head() (*http.Response, error) {
	asked := &http.Request{Method: x.delivery.Method}

	for range strayLimit {
		if err := x.silence(); err != nil {
			return nil, err
		}

		response, err := readResponse(x.conn.reader, asked)
		if err != nil {
			return nil, err
		}

		x.reply = x.client.Codec.Decode(response.StatusCode, response.Header)
		if x.reply.ID == x.delivery.ID || x.reply.ID == "" && !x.reply.OK() {
			return response, nil
		}

		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
	}

	return nil, errors.New("answers belong to other requests")
}

// readResponse passes over provisional answers.
func readResponse(reader *bufio.Reader, asked *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, asked)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}

		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// silence sets the time until which the next bytes have to come.
func (x *exchange) silence() error {
	if x.delivery.ReadTimeout <= 0 {
		return nil
	}

	limit := time.Now().Add(x.delivery.ReadTimeout)
	if limit.After(x.delivery.Deadline) {
		limit = x.delivery.Deadline
	}

	return errors.Wrap(x.conn.SetReadDeadline(limit), "set deadline")
}

func (x *exchange) body(from io.Reader) error {
	buffer := make([]byte, pieceSize)

	for {
		if err := x.silence(); err != nil {
			return err
		}

		n, err := from.Read(buffer)
		if n > 0 {
			if x.emit(message.Data{Bytes: buffer[:n]}) != nil {
				return errLeft
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// drain reads a short body to its end.
func (x *exchange) drain(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, discardLimit))

	return err == nil && n < discardLimit && x.written()
}
