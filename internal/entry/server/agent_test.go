package server_test

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// network connects processes in memory and records every byte that is sent over a dialed connection.
type network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	sent      bytes.Buffer
}

type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	conns  []net.Conn
}

func newPipeListener() *pipeListener {
	return &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// kill closes the listener and every connection, as if the process was killed.
func (l *pipeListener) kill() {
	_ = l.Close()
	l.closeConns()
}

func (l *pipeListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *pipeListener) dial() (net.Conn, error) {
	client, server := net.Pipe()

	l.mu.Lock()
	l.conns = append(l.conns, server)
	l.mu.Unlock()

	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	}
}

func (n *network) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.listeners == nil {
		n.listeners = map[string]*pipeListener{}
	}

	n.listeners[address] = newPipeListener()

	return n.listeners[address]
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()

	if listener == nil {
		return nil, errors.New("connection refused")
	}

	raw, err := listener.dial()

	return &recordingConn{Conn: raw, network: n}, err
}

type recordingConn struct {
	net.Conn
	network *network
}

func (r *recordingConn) Write(data []byte) (int, error) {
	r.network.mu.Lock()
	r.network.sent.Write(data)
	r.network.mu.Unlock()

	return r.Conn.Write(data)
}

// agent is a fake agent process. It behaves correctly unless run is set, which replaces the handling of requests.
type agent struct {
	name string
	boot string
	run  func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error
	mu   sync.Mutex
	// paused blocks all handlers until it is closed; nil if the agent is not paused.
	paused chan struct{}
	// runs is the number of requests that the backend server was given.
	runs   int
	hellos int
	// helloRevocations are the revocations in the last Hello.
	helloRevocations []*rpc.Revocation
	requests         []*rpc.RunRequest
	cancels          int
	// lostQueries is the number of next queries whose connection is lost.
	lostQueries int
	attempts    map[string]*rpc.Done
	refused     map[string]bool
	listener    *pipeListener
}

func (a *agent) serve(ctx context.Context, n *network, address string) {
	a.attempts, a.refused = map[string]*rpc.Done{}, map[string]bool{}
	a.listener = n.listen(address)

	go func() {
		_ = conn.Serve(ctx, a.listener, func(mux *drpcmux.Mux) error { return rpc.DRPCRegisterAgent(mux, a) })
	}()
}

func (a *agent) ticket() *rpc.Ticket {
	return &rpc.Ticket{Id: "ticket-" + strconv.FormatInt(time.Now().UnixMilli(), 10), RemainingMs: 3000}
}

// pauseFor blocks all handlers for a while.
func (a *agent) pauseFor(pause time.Duration) {
	resume := make(chan struct{})

	a.mu.Lock()
	a.paused = resume
	a.mu.Unlock()

	time.AfterFunc(pause, func() { close(resume) })
}

func (a *agent) waitWhilePaused() {
	a.mu.Lock()
	paused := a.paused
	a.mu.Unlock()

	if paused != nil {
		<-paused
	}
}

func (a *agent) Hello(_ context.Context, in *rpc.HelloRequest) (*rpc.HelloReply, error) {
	a.waitWhilePaused()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hellos++
	a.helloRevocations = in.Revocations

	return &rpc.HelloReply{RequestId: in.RequestId, Server: a.name, Boot: a.boot, Ticket: a.ticket()}, nil
}

func (a *agent) Query(_ context.Context, in *rpc.QueryRequest) (*rpc.QueryReply, error) {
	a.waitWhilePaused()
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.lostQueries > 0 {
		a.lostQueries--
		a.listener.closeConns()

		return nil, errors.New("connection lost")
	}

	reply := &rpc.QueryReply{RequestId: in.RequestId, Boot: a.boot, State: rpc.AttemptState_ATTEMPT_UNKNOWN}
	done, seen := a.attempts[in.Attempt]

	switch {
	case in.Boot != a.boot:
		// A process that has just started has received no attempts.
		reply.State = rpc.AttemptState_ATTEMPT_REFUSED
	case done != nil:
		reply.State, reply.Done = rpc.AttemptState_ATTEMPT_DONE, done
	case seen:
		reply.State = rpc.AttemptState_ATTEMPT_RUNNING
	case !in.Refuse && !a.refused[in.Attempt]:
		reply.State = rpc.AttemptState_ATTEMPT_UNSEEN
	default:
		a.refused[in.Attempt] = true
		reply.State = rpc.AttemptState_ATTEMPT_REFUSED
	}

	return reply, nil
}

func (a *agent) Run(stream rpc.DRPCAgent_RunStream) error {
	up, err := stream.Recv()
	if err != nil {
		return err
	}

	request := up.GetRequest()

	a.mu.Lock()
	a.requests = append(a.requests, request)
	a.mu.Unlock()
	a.waitWhilePaused()

	go func() {
		for {
			next, err := stream.Recv()
			if err != nil {
				return
			}

			if next.GetCancel() != nil {
				a.mu.Lock()
				a.cancels++
				a.mu.Unlock()
			}
		}
	}()

	if request.Boot != a.boot {
		return a.refuse(stream, request, fault.BootChanged)
	}

	if a.run != nil {
		return a.run(a, stream, request)
	}

	return a.respond(stream, request)
}

func (a *agent) send(stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest, down *rpc.RunDown) error {
	down.RequestId = request.RequestId
	down.Ticket = a.ticket()
	down.Load = &rpc.Load{Limit: 8}

	return stream.Send(down)
}

func (a *agent) refuse(stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest, kind fault.Kind) error {
	return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Refused{Refused: &rpc.Refused{Kind: string(kind), Message: "refused by " + a.name}}})
}

// begin counts a run at the backend server. It returns false for an attempt that was run or refused before.
func (a *agent) begin(request *rpc.RunRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if attempt := request.GetCall().GetAttempt(); attempt != "" {
		if _, seen := a.attempts[attempt]; seen || a.refused[attempt] {
			return false
		}

		a.attempts[attempt] = nil
	}

	a.runs++

	return true
}

func (a *agent) respond(stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
	if request.Resume == 0 && !a.begin(request) {
		return a.refuse(stream, request, fault.AttemptRefused)
	}

	if err := a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Started{Started: &rpc.Started{}}}); err != nil {
		return err
	}

	if call := request.GetCall(); call != nil {
		return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Done{Done: a.complete(call)}})
	}

	for seq := request.Resume; seq < int64(len(outputChunks)); seq++ {
		if err := a.chunk(stream, request, seq); err != nil {
			return err
		}
	}

	return a.finish(stream, request)
}

var outputChunks = []string{"plum", " bark", " lily"}

func (a *agent) chunk(stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest, seq int64) error {
	work := request.GetGenerate()

	return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Chunk{Chunk: &rpc.Chunk{
		Adapter: work.Adapter, Version: work.Version, Seq: seq, Text: outputChunks[seq], Tokens: 1,
	}}})
}

func (a *agent) finish(stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
	work := request.GetGenerate()

	return a.send(stream, request, &rpc.RunDown{Body: &rpc.RunDown_Done{Done: &rpc.Done{
		Adapter: work.Adapter, Version: work.Version, Chunks: int64(len(outputChunks)), Finish: "stop",
		PromptTokens: work.PromptTokens, OutputTokens: int64(len(outputChunks)),
	}}})
}

func (a *agent) complete(call *rpc.Call) *rpc.Done {
	done := &rpc.Done{
		Status:  201,
		Headers: []*rpc.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    []byte(`{"order":"` + a.name + `"}`),
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if call.Attempt != "" {
		a.attempts[call.Attempt] = done
	}

	return done
}
