package engine

import (
	"context"
	"io"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// crossedText is the text of the events that the crossed switch mixes in.
const crossedText = "text of another request "

// stream reads an answer from a position on.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	model  *Server
	answer *answer
	seq    int64
	// cutAt is the position at which a fault switch ends the stream; negative for never.
	cutAt int64
	// crossed mixes an event of another request in before each event.
	crossed bool
	// mixed says that the event before the present position was mixed in already.
	mixed bool
}

// Resume implements engine.Engine.
func (m *Server) Resume(ctx context.Context, id string, seq int64) (engine.Stream, error) {
	var opened *stream

	err := m.do(ctx, false, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()

		m.forget()

		a, ok := m.answers[id]
		if !ok || a.phase == phaseCut {
			return fault.New(fault.NotFound, "request %s is not known", id)
		}

		opened = m.open(ctx, a, seq)

		return nil
	})
	if err != nil {
		return nil, err
	}

	return opened, nil
}

func (m *Server) open(ctx context.Context, a *answer, seq int64) *stream {
	ctx, cancel := context.WithCancel(ctx)
	opened := &stream{ctx: ctx, cancel: cancel, model: m, answer: a, seq: seq, cutAt: -1}

	if takeOne(&m.faults.Cut) {
		opened.cutAt = (seq + int64(len(a.words))) / 2
	}

	opened.crossed = takeOne(&m.faults.Crossed)

	return opened
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Event, error) {
	for {
		event, found, changed := s.read()
		if found {
			return event, nil
		}

		if changed == nil {
			return engine.Event{}, io.EOF
		}

		select {
		case <-changed:
		case <-s.ctx.Done():
			return engine.Event{}, fault.FromError(s.ctx.Err())
		}
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.cancel()

	return nil
}

// read returns the next event or, if there is none yet, the channel to wait on; nil when no more will come.
func (s *stream) read() (engine.Event, bool, <-chan struct{}) {
	s.model.mu.Lock()
	defer s.model.mu.Unlock()

	if s.seq == s.cutAt {
		return engine.Event{}, false, nil
	}

	event, found := s.answer.at(s.seq)

	switch {
	case found && s.crossed && !s.mixed:
		s.mixed = true

		return s.foreign(), true, nil
	case found:
		s.mixed = false
		s.seq++

		return event, true, nil
	case s.answer.over():
		return engine.Event{}, false, nil
	default:
		return engine.Event{}, false, s.answer.changed
	}
}

func (s *stream) foreign() engine.Event {
	adapter := engine.Adapter{Name: "crossed-" + s.answer.request.Adapter.Name, Version: s.answer.request.Adapter.Version}

	return engine.Event{ID: "crossed-" + s.answer.request.ID, Adapter: adapter, Seq: s.seq, Text: crossedText, Tokens: 1}
}
