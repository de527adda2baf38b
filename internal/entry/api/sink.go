package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// writeTimeout bounds the writing of one chunk; the stream of a caller that reads more slowly is ended.
	writeTimeout = 10 * time.Second
	// maxBufferedBytes is the maximum size of the text of a response that is not streamed.
	maxBufferedBytes = 8 << 20
)

// completionBuilder holds the fields that all chunks of one response have in common.
type completionBuilder struct {
	state   *requestState
	format  completionFormat
	model   string
	created int64
}

// newCompletionBuilder returns a completionBuilder whose model is the adapter with the resolved version.
func newCompletionBuilder(state *requestState, format completionFormat, request relay.Request) completionBuilder {
	builder := completionBuilder{state: state, format: format, created: state.start.Unix()}

	if work, ok := request.Work.(relay.Generate); ok {
		builder.model = work.Adapter + "@" + work.Version
	}

	return builder
}

func (b *completionBuilder) completion(kind string, choices ...any) Completion {
	if choices == nil {
		choices = []any{}
	}

	return Completion{
		ID:      b.format.idPrefix() + b.state.id,
		Object:  kind,
		Created: b.created,
		Model:   b.model,
		Choices: choices,
	}
}

func usageOf(done *rpc.Done) *Usage {
	return &Usage{Prompt: done.PromptTokens, Output: done.OutputTokens, Total: done.PromptTokens + done.OutputTokens}
}

// buffer is the sink of a response that is not streamed; it collects the chunks.
type buffer struct {
	completionBuilder
	text strings.Builder
}

func newBuffer(state *requestState, format completionFormat, request relay.Request) *buffer {
	return &buffer{completionBuilder: newCompletionBuilder(state, format, request)}
}

// Chunk implements relay.Sink.
func (b *buffer) Chunk(chunk *rpc.Chunk) error {
	b.state.recordFirstOutput()

	if b.text.Len()+len(chunk.Text) > maxBufferedBytes {
		return errors.Newf("the response exceeds %d bytes", maxBufferedBytes)
	}

	b.text.WriteString(chunk.Text)

	return nil
}

// Reset implements relay.Sink.
func (b *buffer) Reset() bool {
	b.text.Reset()
	return true
}

// CanReset implements relay.Sink.
func (b *buffer) CanReset() bool { return true }

// recordFirstOutput updates the metric of the time to the first output.
func (s *requestState) recordFirstOutput() {
	if !s.hasOutput {
		s.hasOutput = true
		timeToFirstOutput.UpdateSince(s.start)
	}
}

func (a *API) sendCompletion(state *requestState, request relay.Request, sink *buffer) error {
	result, err := a.run(state, request, func(ctx context.Context) (relay.Result, error) {
		return a.Runner.Do(ctx, request, sink)
	})
	if err != nil {
		return err
	}

	completion := sink.completion(sink.format.objectName(), sink.format.choice(sink.text.String(), result.Done.Finish))
	completion.Usage = usageOf(result.Done)

	return state.sendJSON(completion)
}

// sendJSON sends a complete response with a write deadline.
func (s *requestState) sendJSON(value any) error {
	s.setWriteDeadline()

	return s.echo.JSON(http.StatusOK, value)
}

func (s *requestState) setWriteDeadline() {
	control := http.NewResponseController(s.echo.Response())
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// stream is the sink of a streamed response. It sends each chunk as it arrives, without a buffer: a slow caller slows down the
// agent, up to the write deadline.
type stream struct {
	completionBuilder
	usage   bool
	started atomic.Bool
}

func newStream(state *requestState, format completionFormat, request relay.Request, usage bool) *stream {
	return &stream{completionBuilder: newCompletionBuilder(state, format, request), usage: usage}
}

// Chunk implements relay.Sink.
func (s *stream) Chunk(chunk *rpc.Chunk) error {
	s.state.recordFirstOutput()

	started := s.started.Load()

	return s.writeChunk(s.completion(s.format.chunkObjectName(), s.format.delta(chunk.Text, !started, nil)))
}

// Reset implements relay.Sink.
func (s *stream) Reset() bool {
	return s.CanReset()
}

// CanReset implements relay.Sink.
func (s *stream) CanReset() bool {
	return !s.started.Load()
}

func (s *stream) writeHeader() {
	if s.started.Swap(true) {
		return
	}

	header := s.state.echo.Response().Header()
	header.Set("Content-Type", "text/event-stream; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	s.state.echo.Response().WriteHeader(http.StatusOK)
}

func (s *stream) writeChunk(chunk Completion) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode a chunk of the stream")
	}

	return s.write("data: " + string(body) + "\n\n")
}

func (s *stream) write(text string) error {
	s.writeHeader()
	s.state.setWriteDeadline()

	if _, err := s.state.echo.Response().Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write to the caller")
	}

	control := http.NewResponseController(s.state.echo.Response())
	if err := control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "write to the caller")
	}

	return nil
}

// writeEnd sends the last chunks of a complete response.
func (s *stream) writeEnd(done *rpc.Done) error {
	finish := done.Finish

	if err := s.writeChunk(s.completion(s.format.chunkObjectName(), s.format.delta("", !s.started.Load(), &finish))); err != nil {
		return err
	}

	if s.usage {
		chunk := s.completion(s.format.chunkObjectName())
		chunk.Usage = usageOf(done)

		if err := s.writeChunk(chunk); err != nil {
			return err
		}
	}

	return s.write("data: [DONE]\n\n")
}

func (a *API) sendStream(state *requestState, request relay.Request, sink *stream) error {
	result, err := a.run(state, request, func(ctx context.Context) (relay.Result, error) {
		return a.Runner.Do(ctx, request, sink)
	})

	if err == nil {
		err = sink.writeEnd(result.Done)
		if err != nil {
			err = fault.Wrap(err, fault.Canceled, "the response could not be written to the caller")
		}
	}

	if err != nil && sink.started.Load() {
		_ = sink.write(string(errorEvent(err)))
	}

	return err
}
