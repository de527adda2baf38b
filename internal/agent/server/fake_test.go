package server_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// fakeEngine is an in-memory engine. Its fields are guarded by mu.
type fakeEngine struct {
	mu    sync.Mutex
	boot  string
	slots int
	// reported is an outdated report that is returned instead of the current one; may be nil.
	reported *engine.Report
	cold     bool
	// loseResponse makes Generate fail after the request was accepted.
	loseResponse bool
	fencing      bool
	fence        int64
	down         bool
	loadErr      error
	loadTime     time.Duration
	// eventTime is the time that each event takes, and eventCount the number of events of a response.
	eventTime  time.Duration
	eventCount int64
	// change may replace an event on the first stream of a request; a nil result ends the stream there.
	change func(event engine.Event) *engine.Event

	resident   []engine.Adapter
	running    map[string]engine.Request
	orders     []engine.Order
	canceled   []string
	generated  []string
	maxRunning int
	eventsSent int
	violations []string
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{boot: "run-1", slots: 2, loadTime: 250 * time.Millisecond, eventTime: 10 * time.Millisecond, eventCount: 5,
		running: map[string]engine.Request{}}
}

// locked calls a function with the mutex held.
func (f *fakeEngine) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeEngine) Info(context.Context) (engine.Info, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.down {
		return engine.Info{}, fault.New(fault.BackendFailed, "down")
	}

	return engine.Info{Boot: f.boot, Models: []string{"base"}, Slots: f.slots, BatchSize: 8, Fencing: f.fencing}, nil
}

func (f *fakeEngine) Report(context.Context) (engine.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	report := engine.Report{Boot: f.boot, Resident: slices.Clone(f.resident), Cold: f.cold}
	if f.reported != nil {
		report = *f.reported
	}

	for id, request := range f.running {
		report.Running = append(report.Running, engine.RunningRequest{ID: id, Adapter: request.Adapter})
	}

	return report, nil
}

func (f *fakeEngine) Order(_ context.Context, order engine.Order) error {
	f.mu.Lock()
	delay := f.loadTime
	boot := f.boot
	f.mu.Unlock()

	if order.Action == engine.ActionLoad {
		time.Sleep(delay)
	}

	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, order)

	if f.boot != boot {
		return fault.New(fault.BackendFailed, "connection lost")
	}

	if f.fencing && order.Fence < f.fence {
		return fault.New(fault.Conflict, "old fencing number")
	}

	if order.Action == engine.ActionUnload {
		for id, request := range f.running {
			if request.Adapter == order.Adapter {
				f.violations = append(f.violations, "adapter unloaded in use by "+id)
			}
		}

		f.resident = slices.DeleteFunc(f.resident, func(a engine.Adapter) bool { return a == order.Adapter })

		return nil
	}

	if f.loadErr != nil {
		return f.loadErr
	}

	if !slices.Contains(f.resident, order.Adapter) {
		f.resident = append(f.resident, order.Adapter)
	}

	if len(f.resident) > f.slots {
		f.violations = append(f.violations, "too many adapters")
	}

	return nil
}

func (f *fakeEngine) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if !slices.Contains(f.resident, request.Adapter) {
		return nil, fault.New(fault.NotFound, "not resident")
	}

	f.generated = append(f.generated, request.ID)

	if f.loseResponse {
		return nil, fault.New(fault.BackendFailed, "response lost")
	}

	f.running[request.ID] = request
	f.maxRunning = max(f.maxRunning, len(f.running))

	return &fakeStream{ctx: ctx, engine: f, request: request, boot: f.boot, change: f.change}, nil
}

func (f *fakeEngine) Resume(ctx context.Context, id string, seq int64) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	request, ok := f.running[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "no such request")
	}

	return &fakeStream{ctx: ctx, engine: f, request: request, boot: f.boot, next: seq}, nil
}

func (f *fakeEngine) Cancel(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled = append(f.canceled, id)
	delete(f.running, id)

	return nil
}

// restart gives the engine a new boot id without adapters and requests.
func (f *fakeEngine) restart(boot string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boot = boot
	f.resident = nil
	f.running = map[string]engine.Request{}
}

type fakeStream struct {
	ctx     context.Context
	engine  *fakeEngine
	request engine.Request
	boot    string
	next    int64
	change  func(event engine.Event) *engine.Event
}

func (s *fakeStream) Next() (engine.Event, error) {
	s.engine.mu.Lock()
	eventTime := s.engine.eventTime
	total := s.engine.eventCount
	s.engine.mu.Unlock()

	select {
	case <-time.After(eventTime):
	case <-s.ctx.Done():
		return engine.Event{}, s.ctx.Err()
	}

	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()

	if s.boot != s.engine.boot {
		return engine.Event{}, io.EOF
	}

	event := engine.Event{ID: s.request.ID, Adapter: s.request.Adapter, Seq: s.next, Text: fmt.Sprintf("%d ", s.next), Tokens: 1}

	if s.next >= total {
		event = engine.Event{ID: s.request.ID, Adapter: s.request.Adapter, Seq: total, End: true, FinishReason: "stop", OutputTokens: total}
		delete(s.engine.running, s.request.ID)
	}

	s.next++
	s.engine.eventsSent++

	if s.change != nil {
		changed := s.change(event)
		if changed == nil {
			s.engine.running[s.request.ID] = s.request
			return engine.Event{}, io.EOF
		}

		return *changed, nil
	}

	return event, nil
}

func (s *fakeStream) Close() error { return nil }

// fakeService is a plain service that counts its calls by body.
type fakeService struct {
	mu       sync.Mutex
	calls    map[string]int
	callTime time.Duration
	err      error
}

func (f *fakeService) Call(ctx context.Context, request service.Request) (service.Response, error) {
	f.mu.Lock()
	took, err := f.callTime, f.err
	f.mu.Unlock()

	select {
	case <-time.After(took):
	case <-ctx.Done():
		return service.Response{}, ctx.Err()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	if err != nil {
		return service.Response{}, err
	}

	f.calls[string(request.Body)]++

	return service.Response{Status: 201, Body: request.Body}, nil
}

// fakeSource is a document source whose next version can be set.
type fakeSource struct {
	board *board.Board
	// next is the version that CatchUp sets; nil makes it fail.
	next *document.Document
	// stale stops the periodic confirmations.
	stale atomic.Bool
}

// refresh confirms the document until the context ends.
func (f *fakeSource) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.stale.Load() {
			f.board.Confirmation.Set(board.Confirmation{Version: 1, AsOf: time.Now()})
		}

		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (f *fakeSource) CatchUp(context.Context, int64) error {
	if f.next == nil {
		return fault.New(fault.TableUnavailable, "down")
	}

	f.board.Document.Set(f.next)

	return nil
}

func (f *fakeSource) Confirm(int64, time.Time) {}

func (f *fakeSource) AddPendingRevocations(revocations []*rpc.Revocation) {
	f.board.PendingRevocations.Update(func(old map[string]board.Revocation) map[string]board.Revocation {
		next := maps.Clone(old)

		for _, each := range revocations {
			if next == nil {
				next = map[string]board.Revocation{}
			}

			next[each.Key] = board.Revocation{Key: each.Key}
		}

		return next
	})
}

// fakeTable is an in-memory table that can be unavailable.
type fakeTable struct {
	table.Memory
	down atomic.Bool
}

func (f *fakeTable) Get(ctx context.Context, key string) (table.Row, error) {
	if f.down.Load() {
		return table.Row{}, fault.New(fault.TableUnavailable, "down")
	}

	return f.Memory.Get(ctx, key)
}

type fakeBudget struct{}

func (fakeBudget) Take(context.Context) error { return nil }
