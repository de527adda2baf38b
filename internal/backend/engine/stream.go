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

// lineLimit is the longest line of a stream, in bytes; one event holds a few tokens of text.
const lineLimit = 1 << 20

// dataPrefix starts the data line of a server-sent event.
const dataPrefix = "data:"

// stream reads events from a text/event-stream body.
type stream struct {
	ctx   context.Context
	body  io.ReadCloser
	lines *bufio.Scanner
}

func newStream(ctx context.Context, body io.ReadCloser) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineLimit)

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

	return Event{}, s.ended()
}

// ended returns io.EOF for a connection that ended, whether or not the body was complete; the end marker decides that.
func (s *stream) ended() error {
	err := s.lines.Err()

	if err == nil || (s.ctx.Err() == nil && !errors.Is(err, bufio.ErrTooLong)) {
		return io.EOF
	}

	return kinded(s.ctx, err, "read stream")
}

// Close implements Stream.
func (s *stream) Close() error {
	return errors.Wrap(s.body.Close(), "close stream")
}
