package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/order/attempt"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// noResidentList is passed instead of a known epoch to leave out the list of resident adapters. A Hello reply leaves it out
// because the response to a request includes it: with 880 servers, an entry sends a Hello before nearly every request and
// would receive the list twice.
const noResidentList = -1

// handler serves the Agent service of a Server.
type handler struct {
	*Server
}

// Hello implements rpc.DRPCAgentServer.
func (s handler) Hello(_ context.Context, request *rpc.HelloRequest) (*rpc.HelloReply, error) {
	s.Source.AddPendingRevocations(request.Revocations)

	reply := &rpc.HelloReply{
		RequestId: request.RequestId,
		Server:    s.Settings.Server,
		Boot:      s.boot,
		Kind:      rpc.Kind_KIND_ENGINE,
		Models:    s.backend.engineInfo().Models,
		Domain:    s.Settings.Place.Domain,
		Vm:        s.Settings.Place.VM,
		Ticket:    s.tickets.issue(time.Now(), request.Entry),
		Load:      s.loadMessage(noResidentList),
	}

	if s.Engine == nil {
		reply.Kind = rpc.Kind_KIND_SERVICE
		reply.Service = s.Settings.Name
	}

	return reply, nil
}

// Query implements rpc.DRPCAgentServer.
func (s handler) Query(_ context.Context, request *rpc.QueryRequest) (*rpc.QueryReply, error) {
	reply := &rpc.QueryReply{RequestId: request.RequestId, Boot: s.boot}

	// The attempts of an earlier agent process are not known to this one.
	if request.Boot != s.boot {
		return reply, nil
	}

	record := s.attempts.query(time.Now(), request.Attempt, request.Refuse)
	reply.State = attemptStates[record.State]

	if record.State == attempt.Done {
		reply.Done = record.Outcome
	}

	return reply, nil
}

var attemptStates = map[attempt.State]rpc.AttemptState{
	attempt.Unseen:  rpc.AttemptState_ATTEMPT_UNSEEN,
	attempt.Refused: rpc.AttemptState_ATTEMPT_REFUSED,
	attempt.Queued:  rpc.AttemptState_ATTEMPT_QUEUED,
	attempt.Running: rpc.AttemptState_ATTEMPT_RUNNING,
	attempt.Done:    rpc.AttemptState_ATTEMPT_DONE,
	attempt.Unknown: rpc.AttemptState_ATTEMPT_UNKNOWN,
}

// Run implements rpc.DRPCAgentServer.
func (s handler) Run(stream rpc.DRPCAgent_RunStream) error {
	s.streams.Add(1)
	defer s.streams.Add(-1)

	up, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive request")
	}

	request := up.GetRequest()
	if request == nil {
		return fault.New(fault.InvalidRequest, "the first message is not a request")
	}

	s.Source.AddPendingRevocations(request.Revocations)

	out := &responder{server: s.Server, stream: stream, request: request, residentEpoch: request.ResidentKnown}
	ctx, canceled := watchCancel(stream)

	if err := s.serve(ctx, out, canceled); err != nil {
		return errors.Wrap(err, "serve request")
	}

	return nil
}

// watchCancel returns a context that ends with the stream or when the entry cancels the request, and a function that reports
// whether the entry canceled it.
func watchCancel(stream rpc.DRPCAgent_RunStream) (context.Context, func() bool) {
	ctx, cancel := context.WithCancelCause(stream.Context())

	go func() {
		for {
			up, err := stream.Recv()
			if err != nil {
				return
			}

			if up.GetCancel() != nil {
				cancel(errCanceled)
				return
			}
		}
	}()

	return ctx, func() bool { return errors.Is(context.Cause(ctx), errCanceled) }
}

// errCanceled is the cancellation cause when the entry canceled the request.
var errCanceled = errors.New("canceled by the entry")

func (s *Server) serve(ctx context.Context, out *responder, canceled func() bool) error {
	request := out.request

	if err := validate(request, s.Engine != nil, s.Settings.Name); err != nil {
		return out.refuse(err)
	}

	if request.GetCall() != nil {
		return s.serveCall(ctx, out)
	}

	return s.serveGenerate(ctx, out, canceled)
}

// validate checks the required fields of a request.
func validate(request *rpc.RunRequest, engine bool, service string) error {
	generate := request.GetGenerate()
	call := request.GetCall()

	switch {
	case request.RequestId == "":
		return fault.New(fault.InvalidRequest, "request_id is missing").WithParam("request_id")
	case engine && (generate == nil || generate.Adapter == "" || generate.Version == ""):
		return fault.New(fault.InvalidRequest, "a generation with adapter and version is required").WithParam("generate")
	case !engine && (call == nil || call.Service != service):
		return fault.New(fault.InvalidRequest, "a call to service %q is required", service).WithParam("call")
	case !engine && !call.Idempotent && call.Attempt == "":
		return fault.New(fault.InvalidRequest, "a call that is not idempotent requires an attempt id").WithParam("attempt")
	default:
		return nil
	}
}
