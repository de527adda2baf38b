package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// maxLineBytes is the maximum length of a line of a stream; an event holds only a few tokens of text.
const maxLineBytes = 1 << 20

// dataPrefix is the prefix of the data lines of server-sent events.
const dataPrefix = "data:"

// stream reads events from a text/event-stream body.
type stream struct {
	ctx   context.Context
	body  io.ReadCloser
	lines *bufio.Scanner
}

func newStream(ctx context.Context, body io.ReadCloser) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)

	return &stream{ctx: ctx, body: body, lines: lines}
}

// Next implements Stream.
func (s *stream) Next() (Event, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}

		var event Event

		if err := json.Unmarshal(data, &event); err != nil {
			return Event{}, fault.Wrap(err, fault.BackendFailed, "engine: decode event")
		}

		return event, nil
	}

	return Event{}, s.endError()
}

// endError returns the error for the end of the body. It is io.EOF if the connection ended, even if the body is incomplete;
// the event with End shows whether the output is complete.
func (s *stream) endError() error {
	err := s.lines.Err()

	if err == nil || (s.ctx.Err() == nil && !errors.Is(err, bufio.ErrTooLong)) {
		return io.EOF
	}

	return withKind(s.ctx, err, "read stream")
}

// Close implements Stream.
func (s *stream) Close() error {
	return errors.Wrap(s.body.Close(), "close stream")
}
