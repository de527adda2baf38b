package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// receive handles messages until the response ends. Messages of other requests are discarded.
func (s *session) receive(ctx context.Context, stream rpc.DRPCAgent_RunClient) (*rpc.Done, error) {
	for {
		down, err := stream.Recv()
		if err != nil {
			return nil, s.connectionLost(ctx, err)
		}

		if down.RequestId != s.id {
			discardedMessages.Inc(1)
			logrus.WithFields(s.fields()).Warn("discarded a message of another request")

			continue
		}

		if !s.recordMessage(down) {
			return nil, s.connectionLost(ctx, errGivenUp)
		}

		done, err := s.handle(down)
		if done != nil || err != nil {
			return done, err
		}
	}
}

// markStarted records that the backend server may have been given the request.
func (s *session) markStarted() {
	s.started = true
	s.result.MayHaveStarted = true
}

// incompleteKind returns the error kind for a response without its end.
func (s *session) incompleteKind() fault.Kind {
	if s.nextChunk == 0 {
		return fault.OutcomeUnknown
	}

	return fault.Interrupted
}

func (s *session) fields() logrus.Fields {
	return logrus.Fields{
		"component": "relay",
		"request":   s.request.ID,
		"account":   s.request.Account,
		"server":    s.server.Name,
	}
}

// recordMessage records the liveness, ticket and load that every message of an agent carries. It reports whether the message still counts,
// because the agent was not given up before.
func (s *session) recordMessage(down *rpc.RunDown) bool {
	if s.probe != nil && !s.probe.messageReceived() {
		return false
	}

	s.server.Breaker.Succeeded()
	s.relay.tickets.store(s.server.Address, s.boot, down.Ticket, time.Now())
	s.relay.report(s.server.Name, down.Load)

	return true
}

// handle processes one message. It returns the end of a complete response, or an error, or neither.
func (s *session) handle(down *rpc.RunDown) (*rpc.Done, error) {
	switch body := down.Body.(type) {
	case *rpc.RunDown_Started:
		s.markStarted()
		s.result.LoadWait += time.Duration(body.Started.LoadWaitMs) * time.Millisecond

		return nil, nil
	case *rpc.RunDown_Chunk:
		return nil, s.handleChunk(body.Chunk)
	case *rpc.RunDown_Done:
		return s.handleDone(body.Done)
	case *rpc.RunDown_Refused:
		return nil, s.handleRefused(down, body.Refused)
	case *rpc.RunDown_Failed:
		return nil, s.handleFailed(body.Failed)
	default:
		return nil, nil
	}
}

func (s *session) handleChunk(chunk *rpc.Chunk) error {
	s.markStarted()

	if err := s.checkAdapter(chunk.Adapter, chunk.Version); err != nil {
		return err
	}

	if chunk.Seq < s.nextChunk {
		discardedMessages.Inc(1)
		return nil
	}

	if chunk.Seq > s.nextChunk {
		return lost{fault.New(fault.Interrupted, "received chunk %d instead of %d", chunk.Seq, s.nextChunk)}
	}

	s.nextChunk++

	if s.probe != nil {
		s.probe.begun.Store(true)
	}

	s.result.OutputTokens += chunk.Tokens

	if err := s.sink.Chunk(chunk); err != nil {
		return final{fault.Wrap(err, fault.Canceled, "the response could not be delivered to the caller")}
	}

	return nil
}

func (s *session) handleDone(done *rpc.Done) (*rpc.Done, error) {
	s.markStarted()

	if err := s.checkAdapter(done.Adapter, done.Version); err != nil {
		return nil, err
	}

	if done.Chunks != s.nextChunk {
		return nil, lost{fault.New(fault.Interrupted, "the response has %d chunks, but %d were received", done.Chunks, s.nextChunk)}
	}

	s.assertComplete(done)

	return done, nil
}

// checkAdapter returns an error if the output is not of the requested adapter and version.
func (s *session) checkAdapter(adapter, version string) error {
	work, ok := s.request.Work.(Generate)
	if !ok || (work.Adapter == adapter && work.Version == version) {
		return nil
	}

	logrus.WithFields(s.fields()).Errorf("received output of %s@%s instead of %s", adapter, version, work.adapterVersion())

	return lost{fault.New(fault.BackendFailed, "the backend server returned output of another adapter")}
}

// assertComplete checks that the response which the caller gets is complete, across resumes and resends.
func (s *session) assertComplete(done *rpc.Done) {
	work, ok := s.request.Work.(Generate)
	if !ok {
		return
	}

	matches := done.Adapter == work.Adapter && done.Version == work.Version
	invariant.Check(matches, "answer.adapter", "response of %s@%s to a request for %s", done.Adapter, done.Version, work.adapterVersion())
	invariant.Check(done.Chunks == s.nextChunk, "answer.whole", "received %d of %d chunks", s.nextChunk, done.Chunks)
}

// handleRefused returns the error for a refusal. After the request has started, or for a resume, a refusal does not mean that
// the request has not run.
func (s *session) handleRefused(down *rpc.RunDown, from *rpc.Refused) error {
	failure := refusedFrom(from)

	if failure.reason.Kind == fault.BootChanged || down.Ticket == nil {
		s.relay.tickets.remove(s.server.Address)
	}

	if s.started {
		return lost{fault.Wrap(failure, s.incompleteKind(), "the response could not be resumed")}
	}

	s.written = false

	return failure
}

func (s *session) handleFailed(from *rpc.Failed) error {
	s.markStarted()
	s.result.OutputTokens = max(s.result.OutputTokens, from.OutputTokens)

	if from.Resumable {
		return lost{fault.New(fault.Interrupted, "%s", from.Message)}
	}

	return failedFrom(from)
}
