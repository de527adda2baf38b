package convert

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// StatementToWire returns the wire message for a statement. Its time is sent as the time passed until now.
func StatementToWire(now time.Time, s throttle.Statement) *relay.Statement {
	return &relay.Statement{
		Server: s.Server, StartMs: s.StartedAt, Named: s.Limit.Named, Rate: s.Limit.Rate, AgeMs: now.Sub(s.At).Milliseconds(),
	}
}

// StatementFromWire returns the statement in a wire message that was received at the time now.
func StatementFromWire(now time.Time, wire *relay.Statement) throttle.Statement {
	return throttle.Statement{
		Server: wire.GetServer(), StartedAt: wire.GetStartMs(), Limit: throttle.Limit{Named: wire.GetNamed(), Rate: wire.GetRate()},
		At: now.Add(-milliseconds(wire.GetAgeMs())),
	}
}

// StatementsToWire returns the wire messages for statements.
func StatementsToWire(now time.Time, statements []throttle.Statement) []*relay.Statement {
	list := make([]*relay.Statement, len(statements))
	for i, s := range statements {
		list[i] = StatementToWire(now, s)
	}

	return list
}

// StatementsFromWire returns the statements in wire messages that were received at the time now.
func StatementsFromWire(now time.Time, list []*relay.Statement) []throttle.Statement {
	statements := make([]throttle.Statement, len(list))
	for i, wire := range list {
		statements[i] = StatementFromWire(now, wire)
	}

	return statements
}
