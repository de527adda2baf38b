package slopes

import (
	"context"
	"io"
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// tokenText is the text of one token; it is about as long as an English word.
const tokenText = "seven "

// instantEngine is an in-memory engine that produces tokens without delay. Its output is as long as the request allows; the
// stand-in is not used because its output does not reach the lengths to measure.
type instantEngine struct {
	// release blocks every stream after its first token until it is closed; nil does not block streams.
	release chan struct{}

	mu       sync.Mutex
	resident map[engine.Adapter]bool
}

// Info implements engine.Engine.
func (i *instantEngine) Info(context.Context) (engine.Info, error) {
	return engine.Info{Boot: "engine-boot", Models: []string{model(0)}, Slots: 32, BatchSize: 4096, Fencing: true}, nil
}

// Report implements engine.Engine.
func (i *instantEngine) Report(context.Context) (engine.Report, error) {
	i.mu.Lock()
	defer i.mu.Unlock()

	report := engine.Report{Boot: "engine-boot"}
	for adapter := range i.resident {
		report.Resident = append(report.Resident, adapter)
	}

	return report, nil
}

// Order implements engine.Engine.
func (i *instantEngine) Order(_ context.Context, order engine.Order) error {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.resident == nil {
		i.resident = map[engine.Adapter]bool{}
	}

	if order.Action == engine.ActionLoad {
		i.resident[order.Adapter] = true
	} else {
		delete(i.resident, order.Adapter)
	}

	return nil
}

// Generate implements engine.Engine.
func (i *instantEngine) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	return &instantStream{ctx: ctx, request: request, release: i.release}, nil
}

// Resume implements engine.Engine.
func (i *instantEngine) Resume(context.Context, string, int64) (engine.Stream, error) {
	return nil, io.ErrUnexpectedEOF
}

// Cancel implements engine.Engine.
func (i *instantEngine) Cancel(context.Context, string) error {
	return nil
}

type instantStream struct {
	// ctx is canceled at the end of the request.
	ctx     context.Context
	request engine.Request
	release chan struct{}
	seq     int64
}

// Next implements engine.Stream.
func (s *instantStream) Next() (engine.Event, error) {
	if s.seq > 0 && s.release != nil {
		select {
		case <-s.release:
		case <-s.ctx.Done():
			return engine.Event{}, s.ctx.Err()
		}
	}

	event := engine.Event{ID: s.request.ID, Adapter: s.request.Adapter, Seq: s.seq, Text: tokenText, Tokens: 1}

	if s.seq == s.request.MaxTokens {
		event.Text = ""
		event.Tokens = 0
		event.End = true
		event.FinishReason = "length"
		event.PromptTokens = int64(len(s.request.Prompt)) / 4
		event.OutputTokens = s.request.MaxTokens
	}

	if s.seq > s.request.MaxTokens {
		return engine.Event{}, io.EOF
	}

	s.seq++

	return event, nil
}

// Close implements engine.Stream.
func (s *instantStream) Close() error {
	return nil
}
