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
		list[i] = CrashToWire(now, crash)
	}

	return list
}

// CrashToWire returns the wire message for one crash.
func CrashToWire(now time.Time, crash quarantine.Crash) *relay.Crash {
	wire := &relay.Crash{Id: crash.ID, Server: crash.Server, AgeMs: now.Sub(crash.At).Milliseconds()}

	for _, suspect := range crash.Suspects {
		wire.Suspects = append(wire.Suspects, &relay.Suspect{
			Request: suspect.Request, Subjects: suspect.Subjects, AgeMs: now.Sub(suspect.SentAt).Milliseconds(),
		})
	}

	return wire
}

// CrashesFromWire returns the crashes in wire messages that were received at the time now.
func CrashesFromWire(now time.Time, list []*relay.Crash) []quarantine.Crash {
	crashes := make([]quarantine.Crash, len(list))
	for i, wire := range list {
		crashes[i] = CrashFromWire(now, wire)
	}

	return crashes
}

// CrashFromWire returns the crash in a wire message that was received at the time now.
func CrashFromWire(now time.Time, wire *relay.Crash) quarantine.Crash {
	crash := quarantine.Crash{ID: wire.GetId(), Server: wire.GetServer(), At: now.Add(-milliseconds(wire.GetAgeMs()))}

	for _, suspect := range wire.GetSuspects() {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{
			Request: suspect.GetRequest(), Subjects: suspect.GetSubjects(), SentAt: now.Add(-milliseconds(suspect.GetAgeMs())),
		})
	}

	return crash
}

// HoldsToWire returns the wire messages for holds. Their times are sent relative to now.
func HoldsToWire(now time.Time, holds []quarantine.Hold) []*relay.Hold {
	list := make([]*relay.Hold, len(holds))

	for i, hold := range holds {
		list[i] = &relay.Hold{
			Subject: hold.Subject, AgeMs: now.Sub(hold.Since).Milliseconds(), LeftMs: hold.Until.Sub(now).Milliseconds(), PeriodMs: hold.Period.Milliseconds(),
		}
	}

	return list
}

// HoldsFromWire returns the holds in wire messages that were received at the time now.
func HoldsFromWire(now time.Time, list []*relay.Hold) []quarantine.Hold {
	holds := make([]quarantine.Hold, len(list))

	for i, wire := range list {
		holds[i] = quarantine.Hold{
			Subject: wire.GetSubject(), Since: now.Add(-milliseconds(wire.GetAgeMs())), Until: now.Add(milliseconds(wire.GetLeftMs())), Period: milliseconds(wire.GetPeriodMs()),
		}
	}

	return holds
}

// SoundToWire returns the wire messages for sound subjects. Their times are sent as the time passed until now.
func SoundToWire(now time.Time, known []quarantine.Sound) []*relay.Sound {
	list := make([]*relay.Sound, len(known))
	for i, sound := range known {
		list[i] = &relay.Sound{Subject: sound.Subject, AgeMs: now.Sub(sound.At).Milliseconds()}
	}

	return list
}

// SoundFromWire returns the sound subjects in wire messages that were received at the time now.
func SoundFromWire(now time.Time, list []*relay.Sound) []quarantine.Sound {
	known := make([]quarantine.Sound, len(list))
	for i, wire := range list {
		known[i] = quarantine.Sound{Subject: wire.GetSubject(), At: now.Add(-milliseconds(wire.GetAgeMs()))}
	}

	return known
}
