// Package convert converts between the messages of the drpc service Relay in internal/wire/relay, over which entries send
// requests to agents, and the types that entries and agents use.
package convert

import (
	"strings"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// DeliveryToWire returns the wire message for a delivery. The deadline is sent as the time remaining from now.
func DeliveryToWire(now time.Time, d *message.Delivery) *relay.Request {
	return &relay.Request{
		Id:          d.ID,
		Method:      d.Method,
		Target:      []byte(d.Target),
		Host:        d.Host,
		Headers:     toHeaders(d.Headers),
		Body:        d.Body,
		Instance:    d.Instance,
		Account:     d.Account,
		Model:       d.Model,
		Adapter:     d.Adapter,
		Version:     d.MinVersion,
		Input:       d.PromptTokens,
		Output:      d.MaxOutputTokens,
		Resume:      d.LastEventID,
		RemainingMs: d.Deadline.Sub(now).Milliseconds(),
		TargetMs:    d.Objective.Milliseconds(),
		PatienceMs:  d.MaxWait.Milliseconds(),
		SilenceMs:   d.ReadTimeout.Milliseconds(),
		Urgency:     int32(d.Urgency),
		Parts:       d.SharedParts,
		Origin:      []byte(d.Origin()),
		Software:    toText(d.ServerVersion),
		StartMs:     d.StartedAt,
		Bound:       d.Bound,
		Stream:      d.Stream,
		GapMs:       d.GapTarget.Milliseconds(),
	}
}

// DeliveryFromWire returns the delivery in a wire message that was received at the time now.
func DeliveryFromWire(now time.Time, r *relay.Request) *message.Delivery {
	return &message.Delivery{
		Request: &message.Request{
			ID:              r.GetId(),
			Method:          r.GetMethod(),
			Target:          string(r.GetTarget()),
			Host:            r.GetHost(),
			Headers:         fromHeaders(r.GetHeaders()),
			Body:            r.GetBody(),
			Model:           r.GetModel(),
			Adapter:         r.GetAdapter(),
			PromptTokens:    r.GetInput(),
			MaxOutputTokens: r.GetOutput(),
			LastEventID:     r.GetResume(),
			Resumes:         string(r.GetOrigin()),
			Arrived:         now,
		},
		Instance:    r.GetInstance(),
		Account:     r.GetAccount(),
		MinVersion:  r.GetVersion(),
		Deadline:    now.Add(milliseconds(r.GetRemainingMs())),
		Objective:   milliseconds(r.GetTargetMs()),
		MaxWait:     milliseconds(r.GetPatienceMs()),
		ReadTimeout: milliseconds(r.GetSilenceMs()),
		Urgency:     int(r.GetUrgency()),
		SharedParts: r.GetParts(),

		ServerVersion: r.GetSoftware(),
		StartedAt:     r.GetStartMs(),
		Bound:         r.GetBound(),
		Stream:        r.GetStream(),
		GapTarget:     milliseconds(r.GetGapMs()),
	}
}

// EventToWire returns the wire message for an event; nil becomes a heartbeat.
func EventToWire(event message.Event) *relay.Event {
	switch e := event.(type) {
	case message.RequestSent:
		return &relay.Event{Body: &relay.Event_Started{Started: &relay.Started{}}}
	case message.ResponseStarted:
		head := &relay.Head{Status: int32(e.Head.Status), Headers: toHeaders(e.Head.Headers), StartMs: e.StartedAt}
		return &relay.Event{Body: &relay.Event_Head{Head: head}}
	case message.Data:
		return &relay.Event{Body: &relay.Event_Chunk{Chunk: &relay.Chunk{Data: e.Bytes}}}
	case message.Completed:
		return &relay.Event{Body: &relay.Event_End{End: &relay.End{}}}
	case message.Refused:
		refused := &relay.Refused{
			Kind:         string(e.Err.Kind),
			Message:      toText(e.Err.Message),
			RetryAfterMs: e.Err.RetryAfter.Milliseconds(),
			Arrived:      e.ByBackend,
		}

		return &relay.Event{Body: &relay.Event_Refused{Refused: refused}}
	case message.Failed:
		failed := &relay.Failed{Kind: string(e.Err.Kind), Message: toText(e.Err.Error())}
		return &relay.Event{Body: &relay.Event_Failed{Failed: failed}}
	default:
		return &relay.Event{Body: &relay.Event_Beat{Beat: &relay.Beat{}}}
	}
}

// EventFromWire returns the event in a wire message; nil for a heartbeat.
func EventFromWire(event *relay.Event) message.Event {
	switch e := event.GetBody().(type) {
	case *relay.Event_Started:
		return message.RequestSent{}
	case *relay.Event_Head:
		head := message.Head{Status: int(e.Head.GetStatus()), Headers: fromHeaders(e.Head.GetHeaders())}

		return message.ResponseStarted{Head: head, StartedAt: e.Head.GetStartMs()}
	case *relay.Event_Chunk:
		return message.Data{Bytes: e.Chunk.GetData()}
	case *relay.Event_End:
		return message.Completed{}
	case *relay.Event_Refused:
		err := fault.New(fault.Kind(e.Refused.GetKind()), "%s", e.Refused.GetMessage())
		err.RetryAfter = milliseconds(e.Refused.GetRetryAfterMs())

		return message.Refused{Err: err, ByBackend: e.Refused.GetArrived()}
	case *relay.Event_Failed:
		return message.Failed{Err: fault.New(fault.Kind(e.Failed.GetKind()), "%s", e.Failed.GetMessage())}
	default:
		return nil
	}
}

// PeerTimeToWire returns the wire message for a time on the clock of its receiver, rounded down so that a confirmation never
// looks more recent than it is.
func PeerTimeToWire(peerTime freshness.PeerTime) *relay.Moment {
	return &relay.Moment{ClockMs: peerTime.Reading.Milliseconds(), AfterMs: peerTime.Offset.Milliseconds() - 1}
}

// LocalTimeFromWire returns the time in a wire message as a reading of freshness.Clock in this process; false if the message
// is nil.
func LocalTimeFromWire(moment *relay.Moment) (time.Duration, bool) {
	if moment == nil {
		return 0, false
	}

	return freshness.PeerTime{Reading: milliseconds(moment.GetClockMs()), Offset: milliseconds(moment.GetAfterMs())}.Local(), true
}

// ConfirmationToWire returns the wire message for a confirmation, or nil if the clock of its receiver is not known yet.
func ConfirmationToWire(c progress.Confirmation, receiver *freshness.PeerClock) *relay.Confirmation {
	at, ok := receiver.ToPeer(c.At)
	if !ok {
		return nil
	}

	wire := &relay.Confirmation{Era: c.Newest.Era, Version: c.Newest.Version, At: PeerTimeToWire(at)}

	if regained, ok := receiver.ToPeer(c.Regained); ok && c.Failed {
		wire.Regained = PeerTimeToWire(regained)
	}

	return wire
}

// ConfirmationFromWire returns the confirmation in a wire message; false if the message is nil.
func ConfirmationFromWire(wire *relay.Confirmation) (progress.Confirmation, bool) {
	at, ok := LocalTimeFromWire(wire.GetAt())
	regained, failed := LocalTimeFromWire(wire.GetRegained())

	return progress.Confirmation{
		Newest: progress.Mark{Era: wire.GetEra(), Version: wire.GetVersion()}, At: at, Regained: regained, Failed: failed,
	}, ok
}

// toText replaces the bytes of a message that are no text: it may quote what a server has sent.
func toText(message string) string {
	return strings.ToValidUTF8(message, "\uFFFD")
}

func toHeaders(headers []message.Header) []*relay.Header {
	list := make([]*relay.Header, len(headers))
	for i, header := range headers {
		list[i] = &relay.Header{Name: header.Name, Value: []byte(header.Value)}
	}

	return list
}

func fromHeaders(headers []*relay.Header) []message.Header {
	list := make([]message.Header, len(headers))
	for i, header := range headers {
		list[i] = message.Header{Name: header.GetName(), Value: string(header.GetValue())}
	}

	return list
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
