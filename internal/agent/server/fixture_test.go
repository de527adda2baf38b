package server_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/pipe"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// fixture is an agent process in a synctest bubble, with the fakes that it uses.
type fixture struct {
	t        *testing.T
	engine   *fakeEngine
	service  *fakeService
	board    *board.Board
	source   *fakeSource
	table    *fakeTable
	listener *pipe.Listener
	stop     context.CancelFunc
	exited   chan error
	hello    *rpc.HelloReply
}

func testDocument() *document.Document {
	return &document.Document{
		Version: 1,
		Default: document.Default{Limit: 4, Ramp: 2, Queue: 50},
		Keys:    map[string]document.Key{"k1": {Account: "a1"}, "k2": {Account: "a2"}},
		Domains: map[string]document.Domain{"d1": {}},
		Routes:  map[string]document.Route{"open": {Open: true}},
	}
}

// withAgent runs a test with an agent in a synctest bubble; the agent is stopped at the end. With plainService, its backend
// server is a plain service instead of a model engine.
func withAgent(t *testing.T, plainService bool, test func(f *fixture)) {
	t.Helper()
	runWithAgent(t, plainService, func(*fixture) {}, test)
}

// withPreparedAgent is like withAgent, with a model engine that is set up by prepare before the agent starts.
func withPreparedAgent(t *testing.T, prepare, test func(f *fixture)) {
	t.Helper()
	runWithAgent(t, false, prepare, test)
}

// runWithAgent is like withAgent; prepare is called before the agent starts. At the end it checks that the engine recorded
// no violations.
func runWithAgent(t *testing.T, plainService bool, prepare, test func(f *fixture)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, board: &board.Board{}, listener: pipe.New(), exited: make(chan error, 1), table: &fakeTable{}}
		f.source = &fakeSource{board: f.board}
		f.board.Document.Set(testDocument())

		s := &server.Server{
			Settings:   settings.Agent{Server: "s1", Name: "press", Place: settings.Place{VM: "v1", Domain: "d1"}, Drain: time.Minute},
			Table:      f.table,
			Listener:   f.listener,
			Board:      f.board,
			Source:     f.source,
			LoadBudget: fakeBudget{},

			Background: f.source.refresh,
		}

		f.engine = newFakeEngine()
		f.service = &fakeService{calls: map[string]int{}, callTime: 10 * time.Millisecond}

		if plainService {
			s.Service = f.service
		} else {
			s.Engine = f.engine
		}

		prepare(f)

		var ctx context.Context

		ctx, f.stop = context.WithCancel(t.Context())

		go func() { f.exited <- s.Run(ctx) }()

		defer func() {
			f.stop()
			assert.NilError(t, <-f.exited)
			f.engine.locked(func() { assert.DeepEqual(t, f.engine.violations, []string(nil)) })
		}()

		synctest.Wait()
		f.handshake()
		test(f)
	})
}

// dial opens a new connection, so that a test can close it.
func (f *fixture) dial() drpc.Conn {
	raw, err := f.listener.Dial(f.t.Context())
	assert.NilError(f.t, err)

	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: conn.ManagerOptions()})
}

func (f *fixture) client() (rpc.DRPCAgentClient, func()) {
	c := f.dial()
	return rpc.NewDRPCAgentClient(c), func() { _ = c.Close() }
}

// handshake sends a Hello, which returns a new ticket.
func (f *fixture) handshake() {
	client, end := f.client()
	defer end()

	reply, err := client.Hello(f.t.Context(), &rpc.HelloRequest{RequestId: "h", Entry: "e1"})
	assert.NilError(f.t, err)

	f.hello = reply
}

func (f *fixture) generate(id, adapter string) *rpc.RunRequest {
	return &rpc.RunRequest{
		RequestId: id, Entry: "e1", Boot: f.hello.Boot, Ticket: f.hello.Ticket.Id, Account: "a1", Key: "k1",
		ConfigVersion: 1, RemainingMs: 30000, Cost: 5,
		Work: &rpc.RunRequest_Generate{Generate: &rpc.Generate{Model: "base", Adapter: adapter, Version: "1", MaxTokens: 5}},
	}
}

// call returns a request that calls the plain service. Without an attempt id the call is idempotent. The attempt id is also
// the body, by which fakeService counts its calls.
func (f *fixture) call(id, attempt string) *rpc.RunRequest {
	request := f.generate(id, "")
	request.Cost = 1
	request.Work = &rpc.RunRequest_Call{Call: &rpc.Call{
		Service: "press", Method: "POST", Path: "/order", Body: []byte(attempt), Idempotent: attempt == "", Attempt: attempt,
	}}

	return request
}

// result is what an entry receives for one request.
type result struct {
	text    string
	started *rpc.Started
	done    *rpc.Done
	refused *rpc.Refused
	failed  *rpc.Failed
	load    *rpc.Load
	// resident is the last list of resident adapters.
	resident []string
	err      error
}

// kind returns the kind of the last message, with the error kind of a failure.
func (r result) kind() string {
	switch {
	case r.done != nil:
		return "done"
	case r.refused != nil:
		return "refused " + r.refused.Kind
	case r.failed != nil:
		return "failed " + r.failed.Kind
	default:
		return fmt.Sprintf("ended: %v", r.err)
	}
}

// run sends a request and reads the response to its end.
func (f *fixture) run(request *rpc.RunRequest) result {
	client, end := f.client()
	defer end()

	stream, err := client.Run(f.t.Context())
	assert.NilError(f.t, err)
	assert.NilError(f.t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: request}}))

	return readResult(stream, -1)
}

// start runs a request in the background.
func (f *fixture) start(request *rpc.RunRequest) <-chan result {
	results := make(chan result, 1)

	go func() { results <- f.run(request) }()

	return results
}

// readResult reads a response up to its end, or up to a number of chunks unless it is negative.
func readResult(stream rpc.DRPCAgent_RunClient, chunks int) result {
	var (
		r    result
		text strings.Builder
	)

	for r.done == nil && r.refused == nil && r.failed == nil && r.err == nil && chunks != 0 {
		down, err := stream.Recv()
		if err != nil {
			r.err = err
			break
		}

		if down.Load != nil {
			r.load = down.Load
		}

		if down.Load.GetResidentSent() {
			r.resident = down.Load.Resident
		}

		switch body := down.Body.(type) {
		case *rpc.RunDown_Started:
			r.started = body.Started
		case *rpc.RunDown_Chunk:
			text.WriteString(body.Chunk.Text)
			chunks--
		case *rpc.RunDown_Done:
			r.done = body.Done
		case *rpc.RunDown_Refused:
			r.refused = body.Refused
		case *rpc.RunDown_Failed:
			r.failed = body.Failed
		}
	}

	r.text = text.String()

	return r
}
