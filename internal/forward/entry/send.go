package entry

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// agentSilence is how long an agent may send nothing on the stream of a request; it sends a heartbeat every 400 ms.
const agentSilence = 1200 * time.Millisecond

// direct sends the request to a server of a plain service.
func (e *Entry) direct(ctx context.Context, j *job, server fleet.Server, emit upstream.Emit) message.Event {
	e.plain.begin(server.ID)
	defer e.plain.end(server.ID)

	last, reply := e.PlainClient.Exchange(ctx, server.Address, j.delivery(server.ID, 0), emit)

	if reply != nil && reply.Load != nil {
		e.plain.report(server.ID, *reply.Load)
	}

	return last
}

// relay sends the request through the agent beside a model server.
func (e *Entry) relay(parent context.Context, j *job, server fleet.Server, emit upstream.Emit) message.Event {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)

	silent := time.AfterFunc(agentSilence, func() { cancel(errors.New("agent is silent")) })
	defer silent.Stop()

	version := e.versions.get(link.Adapter{Model: j.request.Model, Name: j.request.Adapter})
	request := convert.ToRequest(time.Now(), j.delivery(server.ID, version))

	e.Links.RecordSent(server.ID, j.request.PromptTokens)

	stream, err := relay.NewDRPCRelayClient(e.Pool.Get(e.Links.Address(server))).Exchange(ctx, request)
	if err != nil {
		return lost(ctx, err)
	}

	defer func() { _ = stream.Close() }()

	for {
		wire, err := stream.Recv()
		if err != nil {
			return lost(ctx, err)
		}

		silent.Reset(agentSilence)

		event := convert.FromEvent(wire)
		switch event.(type) {
		case message.Completed, message.Refused, message.Failed:
			return event
		case nil:
			continue
		}

		if err := emit(event); err != nil {
			return message.Failed{Err: fault.Wrap(err, fault.Canceled, "the client has gone")}
		}
	}
}

// lost is the outcome of a request whose agent ended without a word: it may have run, unless no connection was made.
func lost(ctx context.Context, err error) message.Event {
	if errors.Is(err, conn.ErrDial) {
		return message.Refused{Err: fault.Wrap(err, fault.NoServer, "agent cannot be reached")}
	}

	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}

	if errors.Is(err, io.EOF) {
		err = errors.New("the agent has gone")
	}

	return message.Failed{Err: fault.Wrap(err, fault.OutcomeUnknown, "agent lost")}
}
