package upstream

import (
	"bufio"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/framing"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// errNoID is returned for a response without an id on a connection that had responses before: it may be a late copy of one of them, or
// bytes that belong to no request, so that it does not show whether the request was run.
var errNoID = errors.New("response without an id on a connection that had responses before")

// exchange is the state of one request and its response.
type exchange struct {
	client   *Client
	conn     *conn
	delivery *message.Delivery
	emit     Emit
	// sentAt is when the writing of the request began.
	sentAt time.Time
	// info is the decoded head of the response.
	info ResponseInfo
	// write is the writing of the request; nil if the request was written before the response was read.
	write *requestWrite
}

// run returns the last event, and whether the connection can be used again.
func (x *exchange) run() (message.Event, bool) {
	if err := x.send(); err != nil {
		return x.failed(err, "failed to write the request"), false
	}

	if x.emit(message.RequestSent{}) != nil {
		return x.failed(errReceiverGone, "client disconnected"), false
	}

	response, err := x.readHead() //nolint:bodyclose // the body ends with the connection, which is kept or closed by the caller
	if err != nil {
		x.info.EndedBeforeHead = isConnectionEnd(err)

		return x.failed(err, "no response"), false
	}

	reusable := !response.Close && response.ProtoAtLeast(1, 1)

	switch {
	case x.info.Misdirected:
		return x.refused(fault.New(fault.NoServer, "another backend server has the address")), x.discardBody(response) && reusable
	case x.info.NotRun:
		return x.refused(fault.New(fault.Overloaded, "backend server rejected the request with status %d", x.info.Head.Status)), x.discardBody(response) && reusable
	case !x.info.Authentic:
		return x.failed(nil, "response lacks the marker of the backend server"), false
	}

	if x.emit(message.ResponseStarted{Head: x.info.Head}) != nil {
		return x.failed(errReceiverGone, "client disconnected"), false
	}

	body := &framing.Body{Kind: x.info.Framing, EventStream: x.info.EventStream, EventsDue: x.delivery.Stream && x.info.OK()}

	if err := x.forwardBody(response.Body, body); err != nil {
		ended := isConnectionEnd(err)
		x.info.EndedAtStart = ended && x.info.OK() && !body.Begun()
		x.info.EndedInBody = ended && !x.info.EndedAtStart

		return x.failed(err, "response ended early"), false
	}

	return message.Completed{}, x.write.finish() && reusable
}

// failed returns the outcome of a request that may have run. Without an error, the response itself is the failure.
func (x *exchange) failed(err error, reason string) message.Event {
	if err == nil {
		return message.Failed{Err: fault.New(fault.BackendFailed, "%s", reason)}
	}

	return message.Failed{Err: fault.Wrap(err, fault.OutcomeUnknown, "%s", reason)}
}

// refused returns the outcome of a request that the backend server rejected.
func (x *exchange) refused(err *fault.Error) message.Event {
	return message.Refused{Err: err, ByBackend: true}
}

// settled reports whether no late copy of the response can pass for the response to another request on the connection. A response without
// an id would pass for any; one with the id of the request would pass for a second send of the same request, which then takes another
// connection. A request whose response is a success is not sent again.
func (x *exchange) settled() bool {
	switch {
	case x.info.ID == "":
		return false
	case x.info.OK():
		return true
	default:
		return x.conn.carried.add(time.Now(), x.delivery.ID, x.delivery.Deadline)
	}
}

// readHead reads response heads until one belongs to the request, since a late response to an earlier request may come first.
func (x *exchange) readHead() (*http.Response, error) {
	request := &http.Request{Method: x.delivery.Method}

	for range maxResponseReads {
		if err := x.setReadTimeout(); err != nil {
			return nil, err
		}

		x.conn.head.start()

		response, err := readResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}

		x.conn.head.stop(response.Header)

		info := x.client.Codec.Decode(response.StatusCode, response.Header)
		first := !x.conn.used
		x.conn.used = true

		anonymous := info.ID == "" && !info.OK()

		if anonymous && !first {
			return nil, errNoID
		}

		if anonymous || info.ID == x.delivery.ID {
			x.accept(info, framing.Of(response))

			return response, nil
		}

		if err := discard(response.Body); err != nil {
			return nil, errors.Wrap(err, "discard the response to another request")
		}
	}

	return nil, errors.New("only responses to other requests received")
}

// accept records a response as that to the request. What another server at the address states is not what this one states.
func (x *exchange) accept(info ResponseInfo, kind framing.Kind) {
	x.info = info
	x.info.Framing = kind

	if info.Misdirected {
		x.info.Notice, x.info.Limit, x.info.Load = notice.Notice{}, throttle.Limit{}, nil
		return
	}

	x.passNotice()
	x.passLimit()

	if x.client.OnLoad != nil && x.info.Load != nil {
		x.client.OnLoad(x.delivery.Instance, *x.info.Load)
	}
}

// passNotice passes the notice of the response to the client's receiver.
func (x *exchange) passNotice() {
	if x.client.OnNotice != nil && x.info.Notice != (notice.Notice{}) {
		x.client.OnNotice(x.delivery.Instance, x.info.Notice)
	}
}

// passLimit passes what the response to this request states about the limit of the server. A rejection may be made before the server
// looks at its limit, so that it counts only if it names one.
func (x *exchange) passLimit() {
	states := x.info.Authentic || x.info.NotRun && x.info.Limit.Named

	if x.client.OnLimit != nil && states {
		x.client.OnLimit(x.delivery.Instance, x.sentAt, x.info.Limit)
	}
}

// readResponse reads the head of a final response and skips informational (1xx) responses.
func readResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, errors.Wrap(fault.Bounded(err), "read response")
		}

		if !framing.IsInterim(response) {
			return response, errors.Wrap(framing.CheckFinal(response), "read response")
		}
	}
}

// setReadTimeout sets the deadline for the next bytes to the read timeout of the request, if it has one.
func (x *exchange) setReadTimeout() error {
	if x.delivery.ReadTimeout <= 0 {
		return nil
	}

	limit := time.Now().Add(x.delivery.ReadTimeout)
	if limit.After(x.delivery.Deadline) {
		limit = x.delivery.Deadline
	}

	return errors.Wrap(x.conn.SetReadDeadline(limit), "set deadline")
}

// forwardBody emits the response body in pieces and returns an error unless it is complete. In a stream of events, only whole events
// extend the read timeout.
func (x *exchange) forwardBody(from io.Reader, body *framing.Body) error {
	buffer := make([]byte, readChunkBytes)
	progressed := true

	for {
		if progressed {
			if err := x.setReadTimeout(); err != nil {
				return err
			}
		}

		n, err := from.Read(buffer)

		var invalid error
		if progressed, invalid = body.Scan(buffer[:n]); invalid != nil {
			return invalid
		}

		if n > 0 {
			if x.emit(message.Data{Bytes: buffer[:n]}) != nil {
				return errReceiverGone
			}
		}

		if errors.Is(err, io.EOF) {
			return x.checkEnd(body)
		}

		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// checkEnd returns an error unless a body that was read to its end is complete, as far as that can be told.
func (x *exchange) checkEnd(body *framing.Body) error {
	if err := body.CheckEnd(); err != nil {
		return err //nolint:wrapcheck // the error says what is missing
	}

	if body.Kind != framing.Connection {
		return nil
	}

	return x.checkConnectionEnd()
}

// isConnectionEnd reports whether an error of readHead or forwardBody means that the server has ended the connection, in good order or not.
func isConnectionEnd(err error) bool {
	return errors.IsAny(err, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, framing.ErrInsideEvent, framing.ErrNoEvent)
}

// discardBody reads a short body to its end and reports whether the connection can be reused after it.
func (x *exchange) discardBody(response *http.Response) bool {
	return discard(response.Body) == nil && x.write.finish()
}

// discard reads a body to its end, and fails if it has maxDiscardBytes or more.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		err = errors.New("body is too long")
	}

	return errors.Wrap(err, "discard body")
}
