package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// receive takes messages until the answer ends. Messages of other requests are dropped.
func (s *session) receive(ctx context.Context, stream rpc.DRPCAgent_RunClient) (*rpc.Done, error) {
	for {
		down, err := stream.Recv()
		if err != nil {
			return nil, s.cut(ctx, err)
		}

		if down.RequestId != s.id {
			strays.Inc(1)
			logrus.WithFields(s.fields()).Warn("message of another request dropped")

			continue
		}

		s.contact(down)

		done, err := s.take(down)
		if done != nil || err != nil {
			return done, err
		}
	}
}

// start marks that the backend server may have been given the request.
func (s *session) start() {
	s.started = true
	s.result.MayHaveStarted = true
}

// incomplete is the kind of an answer without its end.
func (s *session) incomplete() fault.Kind {
	if s.next == 0 {
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

// contact keeps what every message of an agent carries.
func (s *session) contact(down *rpc.RunDown) {
	if s.watcher != nil {
		s.watcher.hear()
	}

	s.server.Breaker.Succeeded()
	s.relay.tickets.keep(s.server.Address, s.boot, down.Ticket, time.Now())
	s.relay.report(s.server.Name, down.Load)
}

// take handles one message; it returns the end of a whole answer, or an error, or neither.
func (s *session) take(down *rpc.RunDown) (*rpc.Done, error) {
	switch body := down.Body.(type) {
	case *rpc.RunDown_Started:
		s.start()
		s.result.LoadWait += time.Duration(body.Started.LoadWaitMs) * time.Millisecond

		return nil, nil
	case *rpc.RunDown_Chunk:
		return nil, s.chunk(body.Chunk)
	case *rpc.RunDown_Done:
		return s.done(body.Done)
	case *rpc.RunDown_Refused:
		return nil, s.refuse(down, body.Refused)
	case *rpc.RunDown_Failed:
		return nil, s.fail(body.Failed)
	default:
		return nil, nil
	}
}

func (s *session) chunk(chunk *rpc.Chunk) error {
	s.start()

	if err := s.matches(chunk.Adapter, chunk.Version); err != nil {
		return err
	}

	if chunk.Seq < s.next {
		strays.Inc(1)
		return nil
	}

	if chunk.Seq > s.next {
		return lost{fault.New(fault.Interrupted, "chunk %d arrived instead of %d", chunk.Seq, s.next)}
	}

	s.next++
	s.result.OutputTokens += chunk.Tokens

	if err := s.sink.Chunk(chunk); err != nil {
		return final{fault.Wrap(err, fault.Canceled, "the caller takes no more")}
	}

	return nil
}

func (s *session) done(done *rpc.Done) (*rpc.Done, error) {
	s.start()

	if err := s.matches(done.Adapter, done.Version); err != nil {
		return nil, err
	}

	if done.Chunks != s.next {
		return nil, lost{fault.New(fault.Interrupted, "the answer has %d chunks and %d arrived", done.Chunks, s.next)}
	}

	s.assertWhole(done)

	return done, nil
}

// matches checks that the output is of the adapter and version that were asked for.
func (s *session) matches(adapter, version string) error {
	work, ok := s.request.Work.(Generate)
	if !ok || (work.Adapter == adapter && work.Version == version) {
		return nil
	}

	logrus.WithFields(s.fields()).Errorf("output of %s@%s instead of %s", adapter, version, work.resident())

	return lost{fault.New(fault.BackendFailed, "the backend server answered with another adapter")}
}

// assertWhole checks what the caller is about to get as a whole answer, across resumed and repeated sendings.
func (s *session) assertWhole(done *rpc.Done) {
	work, ok := s.request.Work.(Generate)
	if !ok {
		return
	}

	right := done.Adapter == work.Adapter && done.Version == work.Version
	invariant.Check(right, "answer.adapter", "%s@%s answers for %s", done.Adapter, done.Version, work.resident())
	invariant.Check(done.Chunks == s.next, "answer.whole", "%d of %d chunks", s.next, done.Chunks)
}

// refuse ends the sending. A refusal after a start, or of a resume, does not say that the request was not run.
func (s *session) refuse(down *rpc.RunDown, from *rpc.Refused) error {
	failure := refusal(from)

	if failure.reason.Kind == fault.BootChanged || down.Ticket == nil {
		s.relay.tickets.drop(s.server.Address)
	}

	if s.started {
		return lost{fault.Wrap(failure, s.incomplete(), "the answer could not be resumed")}
	}

	s.written = false

	return failure
}

func (s *session) fail(from *rpc.Failed) error {
	s.start()
	s.result.OutputTokens = max(s.result.OutputTokens, from.OutputTokens)

	if from.Resumable {
		return lost{fault.New(fault.Interrupted, "%s", from.Message)}
	}

	return failed(from)
}
