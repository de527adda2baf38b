package session

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
)

// endMarkerDelay separates the end marker from the last event. The engine sends both at the same time, so that the order in
// which they are recorded on their way to the caller would vary.
const endMarkerDelay = 100 * time.Millisecond

// recordingEngine records the calls to an engine, except the periodic polls of its state.
type recordingEngine struct {
	engine.Engine
	recorder *Recorder
}

// Order implements engine.Engine.
func (t *recordingEngine) Order(ctx context.Context, order engine.Order) error {
	t.recorder.Record("agent", "engine", "order "+textOf(order))
	err := t.Engine.Order(ctx, order)
	t.recorder.Record("engine", "agent", "order "+resultOf(err))

	return err
}

// Generate implements engine.Engine.
func (t *recordingEngine) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	t.recorder.Record("agent", "engine", "generate "+textOf(request))

	return t.record(t.Engine.Generate(ctx, request))
}

// Resume implements engine.Engine.
func (t *recordingEngine) Resume(ctx context.Context, id string, seq int64) (engine.Stream, error) {
	t.recorder.Record("agent", "engine", fmt.Sprintf("resume %s from %d", id, seq))

	return t.record(t.Engine.Resume(ctx, id, seq))
}

// Cancel implements engine.Engine.
func (t *recordingEngine) Cancel(ctx context.Context, id string) error {
	t.recorder.Record("agent", "engine", "cancel "+id)

	return t.Engine.Cancel(ctx, id)
}

func (t *recordingEngine) record(stream engine.Stream, err error) (engine.Stream, error) {
	if err != nil {
		t.recorder.Record("engine", "agent", resultOf(err))
		return nil, err
	}

	return &recordingStream{Stream: stream, recorder: t.recorder}, nil
}

// recordingStream records the events of a stream.
type recordingStream struct {
	engine.Stream
	recorder *Recorder
}

// Next implements engine.Stream.
func (t *recordingStream) Next() (engine.Event, error) {
	event, err := t.Stream.Next()
	if event.End {
		time.Sleep(endMarkerDelay)
	}

	if err != nil {
		t.recorder.Record("engine", "agent", resultOf(err))
		return event, err
	}

	t.recorder.Record("engine", "agent", "event "+textOf(event))

	return event, nil
}

// recordingService records the calls to a service that is not a model engine.
type recordingService struct {
	service.Caller
	recorder *Recorder
}

// Call implements service.Caller.
func (t *recordingService) Call(ctx context.Context, request service.Request) (service.Response, error) {
	t.recorder.Record("agent", "service", fmt.Sprintf("%s %s %s %s", request.ID, request.Method, request.Path, request.Body))
	response, err := t.Caller.Call(ctx, request)

	if err != nil {
		t.recorder.Record("service", "agent", resultOf(err))
		return response, err
	}

	t.recorder.Record("service", "agent", fmt.Sprintf("%d %s", response.Status, response.Body))

	return response, nil
}

// textOf returns the JSON encoding of a value, or the error message if it cannot be encoded.
func textOf(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}

	return string(data)
}

// resultOf returns the result of a call as it appears in the record.
func resultOf(err error) string {
	if err != nil {
		return "error: " + err.Error()
	}

	return "done"
}
