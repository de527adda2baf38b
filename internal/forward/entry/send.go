package entry

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/connlimit"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// agentTimeout is how long an agent may send nothing on the stream of a request before another server takes the request
// over, if one can. Agents send a heartbeat every 400 ms.
const agentTimeout = 1200 * time.Millisecond

// endProbeTimeout limits the search for the end of a server; it is short because a retry waits for it.
const endProbeTimeout = 100 * time.Millisecond

// direct sends the request to a server of a plain service and returns the outcome.
func (e *Entry) direct(ctx context.Context, j *job, server fleet.Server, watch *silenceWatch) message.Event {
	e.plainLoads.begin(server.ID)
	defer e.plainLoads.end(server.ID)

	sentAt := time.Now()
	decide := e.countSend(j)
	last, info := e.PlainClient.Exchange(watch.ctx, server.Address, j.delivery(server, 0), watch.emit)
	decide(last)
	// From here on the job is used without the lock of the watch.
	silent := watch.stop()

	if info != nil && info.Framing != "" {
		metric.Count(e.Metrics, "response.framing."+string(info.Framing))
	}

	if info != nil && info.Limit != (throttle.Limit{}) {
		metric.Count(e.Metrics, "response.limited")
		e.Log.WithField(fieldRequest, j.request.ID).WithField(fieldServer, server.ID).WithField("limit", info.Limit.String()).Info("response names a limit")
	}

	j.crash = nil
	if info != nil && info.Ended() && silent == nil {
		j.crash = e.crashOf(ctx, j, server, sentAt)
	}

	if info != nil && info.Load != nil {
		e.plainLoads.report(time.Now(), server.ID, *info.Load)
	}

	return last
}

// crashOf returns the end of a server of a plain service that has closed the connection of a request, sent at the given time; nil if the
// server is not known to have ended. The list may show later that it has.
func (e *Entry) crashOf(ctx context.Context, j *job, server fleet.Server, sentAt time.Time) *quarantine.Crash {
	if ctx.Err() != nil {
		return nil
	}

	suspect := quarantine.Suspect{Request: j.request.ID, SentAt: sentAt, Subjects: []string{quarantine.RequestSubject(j.digest())}}
	crash := quarantine.Crash{ID: ident.New("crash"), Server: server.ID, At: time.Now(), Suspects: []quarantine.Suspect{suspect}}

	if e.hasEnded(ctx, server) {
		return &crash
	}

	e.ends.add(pendingEnd{server: server, crash: crash})

	return nil
}

// hasEnded reports whether the process of a server of a plain service has ended: no process listens at its address. A connection that
// was closed does not show it, since a server may close one for other reasons.
func (e *Entry) hasEnded(ctx context.Context, server fleet.Server) bool {
	bounded, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()

	return e.PlainClient.IsClosed(bounded, server.Address)
}

// relay sends the request to a model server through the agent on its VM and returns the outcome. Heartbeats of the agent go to emit as nil.
func (e *Entry) relay(ctx context.Context, j *job, server fleet.Server, emit upstream.Emit) (last message.Event) {
	version := e.minVersions.get(link.Adapter{Model: j.request.Model, Name: j.request.Adapter})
	request := convert.DeliveryToWire(time.Now(), j.delivery(server, version))

	e.Links.RecordSent(server.ID, j.urgency, j.request.PromptTokens)

	agent, release, err := e.connectAgent(ctx, e.Links.Address(server), proto.Size(request))
	if err != nil {
		return brokenStreamOutcome(ctx, err)
	}

	defer release()

	stream, err := relay.NewDRPCRelayClient(agent).Exchange(ctx, request)
	if err != nil {
		return brokenStreamOutcome(ctx, err)
	}

	defer func() { _ = stream.Close() }()

	decide := func(message.Event) {}

	defer func() { decide(last) }()

	for {
		wire, err := stream.Recv()
		if err != nil {
			return brokenStreamOutcome(ctx, err)
		}

		event := convert.EventFromWire(wire)
		switch event.(type) {
		case message.RequestSent:
			decide = e.countSend(j)
		case message.Completed, message.Refused, message.Failed:
			return event
		}

		if err := emit(event); err != nil {
			return message.Failed{Err: fault.Wrap(err, fault.Canceled, "client disconnected")}
		}
	}
}

// connectAgent returns a connection to an agent for a message of a size in bytes, and a function to call after its use. A large message gets a
// connection of its own: the buffers that agents keep for idle connections would use up their memory for messages.
func (e *Entry) connectAgent(ctx context.Context, address string, size int) (drpc.Conn, func(), error) {
	if size <= conn.MaxPooledBytes {
		return e.Pool.Get(address), func() {}, nil
	}

	opened, err := e.Pool.Open(ctx, address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open a connection for a large message")
	}

	return opened, func() { _ = opened.Close() }, nil
}

// brokenStreamOutcome returns the outcome of a request whose stream to the agent ended before an outcome was received: the request may
// have run, unless no connection was made, the agent has not read all of the request, or its end was not written and the request was not given up
// meanwhile.
func brokenStreamOutcome(ctx context.Context, err error) message.Event {
	if errors.Is(err, conn.ErrDial) {
		return message.Refused{Err: fault.Wrap(err, fault.NoServer, "cannot connect to the agent")}
	}

	if ctx.Err() == nil && errors.Is(err, conn.ErrNotSent) {
		return message.Refused{Err: fault.Wrap(err, fault.NoServer, "the agent has not received the whole request")}
	}

	if drpcerr.Code(err) == connlimit.CodeNotRun {
		return message.Refused{Err: fault.Wrap(err, fault.Overloaded, "the agent has no memory for the request")}
	}

	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}

	if errors.Is(err, io.EOF) {
		err = errors.New("agent closed the stream")
	}

	return message.Failed{Err: fault.Wrap(err, fault.OutcomeUnknown, "the stream to the agent ended without an outcome")}
}
