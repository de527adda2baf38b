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

// responder sends the response messages of one request to its entry.
type responder struct {
	server  *Server
	stream  rpc.DRPCAgent_RunStream
	request *rpc.RunRequest
	// residentEpoch is the epoch of the list of resident adapters that the entry has.
	residentEpoch int64
	// startedSent is true once Started was sent; no refusal may follow.
	startedSent bool
}

// send sends a message with the current load and a ticket.
func (o *responder) send(down *rpc.RunDown) error {
	down.RequestId = o.request.RequestId
	down.Load = o.server.loadMessage(o.residentEpoch)
	down.Ticket = o.server.tickets.issue(time.Now(), o.request.Entry)

	if err := o.stream.Send(down); err != nil {
		return err
	}

	o.residentEpoch = down.Load.ResidentEpoch

	return nil
}

// refuse reports that the request was not run and will not be run.
func (o *responder) refuse(err error) error {
	problem := fault.FromError(err)
	invariant.Check(!o.startedSent, "refusal.ran", "request %s is refused after it was started", o.request.RequestId)

	metrics.GetOrRegisterCounter("agent.refused."+string(problem.Kind), metrics.DefaultRegistry).Inc(1)

	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Refused{Refused: &rpc.Refused{
		Kind:         string(problem.Kind),
		Message:      problem.Message,
		RetryAfterMs: problem.RetryDelay().Milliseconds(),
	}}})
}

// fail reports that the request was started and has no complete response.
func (o *responder) fail(err error, output int64) error {
	problem := fault.FromError(err)

	metrics.GetOrRegisterCounter("agent.failed."+string(problem.Kind), metrics.DefaultRegistry).Inc(1)

	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Failed{Failed: &rpc.Failed{
		Kind:         string(problem.Kind),
		Message:      problem.Message,
		OutputTokens: output,
	}}})
}

// started reports that the backend server has accepted the request.
func (o *responder) started(j *job) error {
	o.startedSent = true
	started := &rpc.Started{}

	if j != nil {
		loadWait := max(0, j.adapterReadyAt.Sub(j.arrivedAt))
		started.LoadWaitMs = loadWait.Milliseconds()
		started.QueueWaitMs = (j.startedAt.Sub(j.arrivedAt) - loadWait).Milliseconds()
	}

	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Started{Started: started}})
}

// chunk forwards one event. Only the first and the last message of a response carry load and ticket.
func (o *responder) chunk(event engine.Event) error {
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

func (o *responder) done(done *rpc.Done) error {
	return o.send(&rpc.RunDown{Body: &rpc.RunDown_Done{Done: done}})
}

// finish sends the outcome of a generation.
func (o *responder) finish(outcome *worker.Outcome[engine.Event], output int64) error {
	switch {
	case outcome.Value != nil:
		return o.done(generationDone(outcome.Value))
	case outcome.Refused:
		return o.refuse(outcome.Err)
	default:
		return o.fail(outcome.Err, output)
	}
}

func generationDone(last *engine.Event) *rpc.Done {
	return &rpc.Done{
		Adapter:      last.Adapter.Name,
		Version:      last.Adapter.Version,
		Chunks:       last.Seq,
		Finish:       last.FinishReason,
		PromptTokens: last.PromptTokens,
		OutputTokens: last.OutputTokens,
	}
}

func callDone(response *service.Response) *rpc.Done {
	done := &rpc.Done{Status: int32(response.Status), Body: response.Body}

	for _, header := range response.Headers {
		done.Headers = append(done.Headers, &rpc.Header{Name: header.Name, Value: header.Value})
	}

	return done
}
