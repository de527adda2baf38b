package server

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/chestnutbeam/chestnutbeam/internal/agent/worker"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// outlet sends the messages of one request to its entry.
type outlet struct {
	server  *Server
	stream  rpc.DRPCAgent_RunStream
	request *rpc.RunRequest
	// known is the residency epoch that the entry has.
	known int64
	// begun says that the entry was told that the backend server has the request; a refusal must not follow.
	begun bool
}

// send adds load and ticket to a message and sends it.
func (o *outlet) send(down *rpc.RunDown) error {
	down.RequestId = o.request.RequestId
	down.Load = o.server.loadMessage(o.known)
	down.Ticket = o.server.tickets.issue(time.Now(), o.request.Entry)

	if err := o.stream.Send(down); err != nil {
		return err
	}

	o.known = down.Load.ResidentEpoch

	return nil
}

// refuse says that the request was not run and will not be run.
func (o *outlet) refuse(err error) error {
	problem := fault.FromError(err)
	invariant.Check(!o.begun, "refusal.ran", "request %s is refused after it was started", o.request.RequestId)

	metrics.GetOrRegisterCounter("agent.refused."+string(problem.Kind), metrics.DefaultRegistry).Inc(1)

	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Refused{Refused: &rpc.Refused{
		Kind:         string(problem.Kind),
		Message:      problem.Message,
		RetryAfterMs: problem.RetryDelay().Milliseconds(),
	}}})
}

// fail says that the request was started and has no whole answer.
func (o *outlet) fail(err error, output int64) error {
	problem := fault.FromError(err)

	metrics.GetOrRegisterCounter("agent.failed."+string(problem.Kind), metrics.DefaultRegistry).Inc(1)

	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Failed{Failed: &rpc.Failed{
		Kind:         string(problem.Kind),
		Message:      problem.Message,
		OutputTokens: output,
	}}})
}

// started says that the backend server has the request.
func (o *outlet) started(j *job) error {
	o.begun = true
	started := &rpc.Started{}

	if j != nil {
		loadWait := max(0, j.loaded.Sub(j.arrived))
		started.LoadWaitMs = loadWait.Milliseconds()
		started.QueueWaitMs = (j.started.Sub(j.arrived) - loadWait).Milliseconds()
	}

	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Started{Started: started}})
}

// chunk passes one event on; only the messages that begin and end an answer carry load and ticket.
func (o *outlet) chunk(event engine.Event) error {
	return o.stream.Send(&rpc.RunDown{
		RequestId: o.request.RequestId,
		Body: &rpc.RunDown_Chunk{Chunk: &rpc.Chunk{
			Adapter: event.Adapter.Name,
			Version: event.Adapter.Version,
			Seq:     event.Seq,
			Text:    event.Text,
			Tokens:  event.Tokens,
		}},
	})
}

func (o *outlet) done(done *rpc.Done) error {
	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Done{Done: done}})
}

// finish sends the outcome of a generation.
func (o *outlet) finish(outcome *worker.Outcome[engine.Event], output int64) error {
	switch {
	case outcome.Value != nil:
		return o.done(generated(outcome.Value))
	case outcome.Refused:
		return o.refuse(outcome.Err)
	default:
		return o.fail(outcome.Err, output)
	}
}

func generated(last *engine.Event) *rpc.Done {
	return &rpc.Done{
		Adapter:      last.Adapter.Name,
		Version:      last.Adapter.Version,
		Chunks:       last.Seq,
		Finish:       last.FinishReason,
		PromptTokens: last.PromptTokens,
		OutputTokens: last.OutputTokens,
	}
}

func called(response *service.Response) *rpc.Done {
	done := &rpc.Done{Status: int32(response.Status), Body: response.Body}

	for _, header := range response.Headers {
		done.Headers = append(done.Headers, &rpc.Header{Name: header.Name, Value: header.Value})
	}

	return done
}
