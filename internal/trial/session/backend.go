package session

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
)

// endPause separates the end marker from the last event, which the engine sends at the same moment; their way to the caller
// would overlap.
const endPause = 100 * time.Millisecond

// tappedEngine records the calls of an engine, except the regular reading of its state.
type tappedEngine struct {
	engine.Engine
	recorder *Recorder
}

// Order implements engine.Engine.
func (t *tappedEngine) Order(ctx context.Context, order engine.Order) error {
	t.recorder.Note("agent", "engine", "order "+textOf(order))
	err := t.Engine.Order(ctx, order)
	t.recorder.Note("engine", "agent", "order "+resultOf(err))

	return err
}

// Generate implements engine.Engine.
func (t *tappedEngine) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	t.recorder.Note("agent", "engine", "generate "+textOf(request))

	return t.opened(t.Engine.Generate(ctx, request))
}

// Resume implements engine.Engine.
func (t *tappedEngine) Resume(ctx context.Context, id string, seq int64) (engine.Stream, error) {
	t.recorder.Note("agent", "engine", fmt.Sprintf("resume %s from %d", id, seq))

	return t.opened(t.Engine.Resume(ctx, id, seq))
}

// Cancel implements engine.Engine.
func (t *tappedEngine) Cancel(ctx context.Context, id string) error {
	t.recorder.Note("agent", "engine", "cancel "+id)

	return t.Engine.Cancel(ctx, id)
}

func (t *tappedEngine) opened(stream engine.Stream, err error) (engine.Stream, error) {
	if err != nil {
		t.recorder.Note("engine", "agent", resultOf(err))
		return nil, err
	}

	return &tappedStream{Stream: stream, recorder: t.recorder}, nil
}

type tappedStream struct {
	engine.Stream
	recorder *Recorder
}

// Next implements engine.Stream.
func (t *tappedStream) Next() (engine.Event, error) {
	event, err := t.Stream.Next()
	if event.End {
		time.Sleep(endPause)
	}

	if err != nil {
		t.recorder.Note("engine", "agent", resultOf(err))
		return event, err
	}

	t.recorder.Note("engine", "agent", "event "+textOf(event))

	return event, nil
}

// tappedService records the calls of a plain service.
type tappedService struct {
	service.Caller
	recorder *Recorder
}

// Call implements service.Caller.
func (t *tappedService) Call(ctx context.Context, request service.Request) (service.Response, error) {
	t.recorder.Note("agent", "service", fmt.Sprintf("%s %s %s %s", request.ID, request.Method, request.Path, request.Body))
	response, err := t.Caller.Call(ctx, request)

	if err != nil {
		t.recorder.Note("service", "agent", resultOf(err))
		return response, err
	}

	t.recorder.Note("service", "agent", fmt.Sprintf("%d %s", response.Status, response.Body))

	return response, nil
}

func textOf(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}

	return string(data)
}

func resultOf(err error) string {
	if err != nil {
		return "error: " + err.Error()
	}

	return "done"
}
