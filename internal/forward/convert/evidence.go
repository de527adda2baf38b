package convert

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// CrashesToWire returns the wire messages for crashes. Their times are sent as the time passed until now.
func CrashesToWire(now time.Time, crashes []quarantine.Crash) []*relay.Crash {
	list := make([]*relay.Crash, len(crashes))

	for i, crash := range crashes {
		wire := &relay.Crash{Id: crash.ID, AgeMs: now.Sub(crash.At).Milliseconds()}

		for _, suspect := range crash.Suspects {
			wire.Suspects = append(wire.Suspects, &relay.Suspect{Request: suspect.Request, Parts: suspect.Parts})
		}

		list[i] = wire
	}

	return list
}

// CrashesFromWire returns the crashes in wire messages that were received at the time now.
func CrashesFromWire(now time.Time, list []*relay.Crash) []quarantine.Crash {
	crashes := make([]quarantine.Crash, len(list))

	for i, wire := range list {
		crash := quarantine.Crash{ID: wire.GetId(), At: now.Add(-milliseconds(wire.GetAgeMs()))}

		for _, suspect := range wire.GetSuspects() {
			crash.Suspects = append(crash.Suspects, quarantine.Suspect{Request: suspect.GetRequest(), Parts: suspect.GetParts()})
		}

		crashes[i] = crash
	}

	return crashes
}
