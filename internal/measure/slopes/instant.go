package slopes

import (
	"context"
	"io"
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// word is the text of one token; English words have about this length.
const word = "seven "

// instant is an engine in memory that produces tokens without delay. Its answers are as long as the request allows, unlike
// those of the stand-in, whose lengths do not reach the sizes to measure.
type instant struct {
	// hold keeps every answer open after its first token until it is closed; nil ends answers at once.
	hold chan struct{}

	mu       sync.Mutex
	resident map[engine.Adapter]bool
}

// Info implements engine.Engine.
func (i *instant) Info(context.Context) (engine.Info, error) {
	return engine.Info{Boot: "engine-boot", Models: []string{model(0)}, Slots: 32, BatchSize: 4096, Fencing: true}, nil
}

// Report implements engine.Engine.
func (i *instant) Report(context.Context) (engine.Report, error) {
	i.mu.Lock()
	defer i.mu.Unlock()

	report := engine.Report{Boot: "engine-boot"}
	for adapter := range i.resident {
		report.Resident = append(report.Resident, adapter)
	}

	return report, nil
}

// Order implements engine.Engine.
func (i *instant) Order(_ context.Context, order engine.Order) error {
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
func (i *instant) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	return &instantStream{ctx: ctx, request: request, hold: i.hold}, nil
}

// Resume implements engine.Engine.
func (i *instant) Resume(context.Context, string, int64) (engine.Stream, error) {
	return nil, io.ErrUnexpectedEOF
}

// Cancel implements engine.Engine.
func (i *instant) Cancel(context.Context, string) error {
	return nil
}

type instantStream struct {
	// ctx ends with the request.
	ctx     context.Context
	request engine.Request
	hold    chan struct{}
	seq     int64
}

// Next implements engine.Stream.
func (s *instantStream) Next() (engine.Event, error) {
	if s.seq > 0 && s.hold != nil {
		select {
		case <-s.hold:
		case <-s.ctx.Done():
			return engine.Event{}, s.ctx.Err()
		}
	}

	event := engine.Event{ID: s.request.ID, Adapter: s.request.Adapter, Seq: s.seq, Text: word, Tokens: 1}

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
