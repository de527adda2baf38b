package quarantine

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Refusal is the reason why a request is not sent.
type Refusal struct {
	// Subject is what is held.
	Subject string
	// Left is the time until a request with the subject may be tried.
	Left time.Duration
}

// Fault returns the error for a request that is not sent; its kind is fault.Quarantined.
func (r *Refusal) Fault() *fault.Error {
	message := "requests with prompt part %s have ended model servers"

	switch KindOf(r.Subject) {
	case Request:
		message = "%s has ended backend servers"
	case Adapter:
		message = "the load of %s has ended model servers"
	case Part:
	}

	return fault.New(fault.Quarantined, message, r.Subject).WithRetryAfter(r.Left)
}

// Check returns the reason why a request with the subjects is not to be sent; false if it may be sent.
func (t *Tracker) Check(now time.Time, subjects []string) (Refusal, bool) {
	if len(t.holds) == 0 {
		return Refusal{}, false
	}

	for _, id := range subjects {
		if held, ok := t.holds[id]; ok && now.Before(held.Until) {
			return Refusal{Subject: id, Left: held.Until.Sub(now)}, true
		}
	}

	return Refusal{}, false
}

// Admit is Check for a request that is sent at once. It reports in trial which subject is tried by it, if any; the next trial of that
// subject is due only after its period.
func (t *Tracker) Admit(now time.Time, subjects []string) (refusal Refusal, refused bool, trial string) {
	if refusal, refused = t.Check(now, subjects); refused {
		return refusal, true, ""
	}

	for _, id := range subjects {
		if held, ok := t.holds[id]; ok {
			held.Until = now.Add(t.jitter(held.Period))
			t.holds[id] = held
			trial = id
		}
	}

	return Refusal{}, false, trial
}

// MayRepeat reports whether a request under which a server has ended may be sent to another one: not if a crash under another request
// raises suspicion of one of its parts.
func (t *Tracker) MayRepeat(request string, parts []string) bool {
	for _, id := range parts {
		if _, sound := t.lastSound(id); sound {
			continue
		}

		for _, crash := range t.naming[id] {
			if blames(&crash.Crash, id, request) {
				return false
			}
		}
	}

	return true
}

// blames reports whether another request than the given one with the part is a suspect of the crash.
func blames(crash *Crash, id, request string) bool {
	return slices.ContainsFunc(crash.Suspects, func(s Suspect) bool { return s.Request != request && slices.Contains(s.Subjects, id) })
}
