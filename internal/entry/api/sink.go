package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// writeTime bounds the writing of one chunk; a caller that reads more slowly loses its stream.
	writeTime = 10 * time.Second
	// mostBuffered bounds the text of an answer that is sent as a whole, in bytes.
	mostBuffered = 8 << 20
)

// answer holds what every part of one answer repeats.
type answer struct {
	state   *call
	form    shape
	model   string
	created int64
}

// newAnswer names the adapter with the version that was resolved.
func newAnswer(state *call, form shape, request relay.Request) answer {
	made := answer{state: state, form: form, created: state.begin.Unix()}

	if work, ok := request.Work.(relay.Generate); ok {
		made.model = work.Adapter + "@" + work.Version
	}

	return made
}

func (a *answer) object(kind string, choices ...any) Completion {
	if choices == nil {
		choices = []any{}
	}

	return Completion{
		ID:      a.form.prefix() + a.state.id,
		Object:  kind,
		Created: a.created,
		Model:   a.model,
		Choices: choices,
	}
}

func usageOf(done *rpc.Done) *Usage {
	return &Usage{Prompt: done.PromptTokens, Output: done.OutputTokens, Total: done.PromptTokens + done.OutputTokens}
}

// buffer collects the chunks of an answer that is sent as a whole.
type buffer struct {
	answer
	text strings.Builder
}

func newBuffer(state *call, form shape, request relay.Request) *buffer {
	return &buffer{answer: newAnswer(state, form, request)}
}

// Chunk implements relay.Sink.
func (b *buffer) Chunk(chunk *rpc.Chunk) error {
	b.state.seen()

	if b.text.Len()+len(chunk.Text) > mostBuffered {
		return errors.Newf("the answer exceeds %d bytes", mostBuffered)
	}

	b.text.WriteString(chunk.Text)

	return nil
}

// Reset implements relay.Sink.
func (b *buffer) Reset() bool {
	b.text.Reset()
	return true
}

// seen measures the time to the first output.
func (s *call) seen() {
	if !s.output {
		s.output = true
		first.UpdateSince(s.begin)
	}
}

func (a *API) whole(state *call, request relay.Request, sink *buffer) error {
	result, err := a.run(state, request, func(ctx context.Context) (relay.Result, error) {
		return a.Runner.Do(ctx, request, sink)
	})
	if err != nil {
		return err
	}

	object := sink.object(sink.form.whole(), sink.form.choice(sink.text.String(), result.Done.Finish))
	object.Usage = usageOf(result.Done)

	return state.json(object)
}

// json sends a whole response with a bound on the writing time.
func (s *call) json(value any) error {
	s.limitWrite()

	return s.echo.JSON(http.StatusOK, value)
}

func (s *call) limitWrite() {
	control := http.NewResponseController(s.echo.Response())
	_ = control.SetWriteDeadline(time.Now().Add(writeTime))
}

// stream sends each chunk as it arrives. Nothing is buffered: a slow caller slows the agent, up to the write deadline.
type stream struct {
	answer
	usage bool
	begun bool
}

func newStream(state *call, form shape, request relay.Request, usage bool) *stream {
	return &stream{answer: newAnswer(state, form, request), usage: usage}
}

// Chunk implements relay.Sink.
func (s *stream) Chunk(chunk *rpc.Chunk) error {
	s.state.seen()

	begun := s.begun

	return s.part(s.object(s.form.part(), s.form.delta(chunk.Text, !begun, nil)))
}

// Reset implements relay.Sink.
func (s *stream) Reset() bool {
	return !s.begun
}

func (s *stream) begin() {
	if s.begun {
		return
	}

	s.begun = true

	header := s.state.echo.Response().Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	s.state.echo.Response().WriteHeader(http.StatusOK)
}

func (s *stream) part(object Completion) error {
	body, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode a part of the stream")
	}

	return s.write("data: " + string(body) + "\n\n")
}

func (s *stream) write(text string) error {
	s.begin()
	s.state.limitWrite()

	if _, err := s.state.echo.Response().Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write to the caller")
	}

	control := http.NewResponseController(s.state.echo.Response())
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "write to the caller")
	}

	return nil
}

// end sends the last parts of a whole answer.
func (s *stream) end(done *rpc.Done) error {
	finish := done.Finish

	if err := s.part(s.object(s.form.part(), s.form.delta("", !s.begun, &finish))); err != nil {
		return err
	}

	if s.usage {
		object := s.object(s.form.part())
		object.Usage = usageOf(done)

		if err := s.part(object); err != nil {
			return err
		}
	}

	return s.write("data: [DONE]\n\n")
}

func (a *API) stream(state *call, request relay.Request, sink *stream) error {
	result, err := a.run(state, request, func(ctx context.Context) (relay.Result, error) {
		return a.Runner.Do(ctx, request, sink)
	})

	if err == nil {
		err = sink.end(result.Done)
		if err != nil {
			err = fault.Wrap(err, fault.Canceled, "the caller takes no more")
		}
	}

	if err != nil && sink.begun {
		_ = sink.write(string(event(err)))
	}

	return err
}
