package convert

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// OriginToWire returns the wire message for the begin of a stream.
func OriginToWire(now time.Time, begin origin.Begin) *relay.Origin {
	return &relay.Origin{
		Server: begin.Server, StartMs: begin.StartedAt, Software: begin.Version, Known: begin.Known, AgeMs: now.Sub(begin.At).Milliseconds(),
	}
}

// OriginFromWire returns the begin of a stream in a wire message; false if the message is nil.
func OriginFromWire(now time.Time, wire *relay.Origin) (origin.Begin, bool) {
	return origin.Begin{
		Server: wire.GetServer(), StartedAt: wire.GetStartMs(), Version: wire.GetSoftware(), Known: wire.GetKnown(),
		At: now.Add(-milliseconds(wire.GetAgeMs())),
	}, wire != nil
}
