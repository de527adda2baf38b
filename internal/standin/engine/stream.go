package engine

import (
	"context"
	"io"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// foreignText is the text of the events of another request in a mixed stream.
const foreignText = "text of another request "

// stream reads a generation from a sequence number on.
type stream struct {
	ctx        context.Context
	cancel     context.CancelFunc
	server     *Server
	generation *generation
	seq        int64
	// truncateAt is the sequence number at which a fault switch ends the stream; negative for never.
	truncateAt int64
	// mixed is true if an event of another request precedes each event.
	mixed bool
	// foreignSent is true if the event of another request that precedes event seq was sent.
	foreignSent bool
}

// Resume implements api.Engine.
func (s *Server) Resume(ctx context.Context, id string, seq int64) (api.Stream, error) {
	var opened *stream

	err := s.do(ctx, false, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.dropExpired()

		g, ok := s.generations[id]
		if !ok || g.phase == phaseAborted {
			return fault.New(fault.NotFound, "request %s is not known", id)
		}

		opened = s.openStream(ctx, g, seq)

		return nil
	})
	if err != nil {
		return nil, err
	}

	return opened, nil
}

func (s *Server) openStream(ctx context.Context, g *generation, seq int64) *stream {
	ctx, cancel := context.WithCancel(ctx)
	opened := &stream{ctx: ctx, cancel: cancel, server: s, generation: g, seq: seq, truncateAt: -1}

	if consume(&s.faults.TruncatedStreams) {
		opened.truncateAt = (seq + int64(len(g.tokens))) / 2
	}

	opened.mixed = consume(&s.faults.MixedStreams)

	return opened
}

// Next implements api.Stream.
func (s *stream) Next() (api.Event, error) {
	for {
		event, found, changed := s.read()
		if found {
			return event, nil
		}

		if changed == nil {
			return api.Event{}, io.EOF
		}

		select {
		case <-changed:
		case <-s.ctx.Done():
			return api.Event{}, fault.FromError(s.ctx.Err())
		}
	}
}

// Close implements api.Stream.
func (s *stream) Close() error {
	s.cancel()

	return nil
}

// read returns the next event or, if there is none yet, the channel to wait on. The channel is nil if the stream has ended.
func (s *stream) read() (api.Event, bool, <-chan struct{}) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()

	if s.seq == s.truncateAt {
		return api.Event{}, false, nil
	}

	event, found := s.generation.eventAt(s.seq)

	switch {
	case found && s.mixed && !s.foreignSent:
		s.foreignSent = true

		return s.foreignEvent(), true, nil
	case found:
		s.foreignSent = false
		s.seq++

		return event, true, nil
	case s.generation.hasEnded():
		return api.Event{}, false, nil
	default:
		return api.Event{}, false, s.generation.changed
	}
}

// foreignEvent returns an event of another request and adapter.
func (s *stream) foreignEvent() api.Event {
	adapter := api.Adapter{Name: "crossed-" + s.generation.request.Adapter.Name, Version: s.generation.request.Adapter.Version}

	return api.Event{ID: "crossed-" + s.generation.request.ID, Adapter: adapter, Seq: s.seq, Text: foreignText, Tokens: 1}
}
