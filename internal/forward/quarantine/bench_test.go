package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

// heldTracker returns a tracker with many held parts and as much evidence as it keeps.
func heldTracker() *quarantine.Tracker {
	tracker := newTracker()

	for i := range 256 * 3 {
		tracker.RecordCrash(at(i*300), quarantine.Crash{ID: fmt.Sprint(i), At: at(i * 300), Suspects: []quarantine.Suspect{suspect(fmt.Sprint(i), fmt.Sprint("p", i/3))}})
	}

	return tracker
}

// BenchmarkRequest measures what a request costs: its check, its admission and the begin of its response.
func BenchmarkRequest(b *testing.B) {
	parts := []string{"shared", "session"}

	for name, tracker := range map[string]*quarantine.Tracker{"calm": newTracker(), "held": heldTracker()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				tracker.Check(start, parts)
				tracker.Admit(start, parts)
				tracker.RecordSound(start, parts)
			}
		})
	}
}

// BenchmarkCrash measures what one more crash costs a tracker that keeps as many as it can.
func BenchmarkCrash(b *testing.B) {
	tracker := heldTracker()
	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		tracker.RecordCrash(at(256*3*300+i), quarantine.Crash{ID: fmt.Sprint("c", i), At: at(256*3*300 + i), Suspects: []quarantine.Suspect{suspect(fmt.Sprint("c", i), "a", "b")}})
	}
}

// BenchmarkCrashOfBusyServer measures what the end of a server with as many suspects as are named costs.
func BenchmarkCrashOfBusyServer(b *testing.B) {
	tracker := newTracker()
	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		crash := quarantine.Crash{ID: fmt.Sprint("c", i), At: at(i * 300)}
		for j := range 64 {
			request := fmt.Sprint(i, "-", j)
			crash.Suspects = append(crash.Suspects, suspect(request, quarantine.RequestSubject(request), "all", fmt.Sprint("p", j%20)))
		}

		tracker.RecordSound(at(i*300), []string{"all"})
		tracker.RecordCrash(at(i*300), crash)
	}
}

// BenchmarkDigest measures the digest of a request with a body of 3 KB.
func BenchmarkDigest(b *testing.B) {
	request := &message.Request{Method: "POST", Host: "h", Target: "/a", Body: make([]byte, 3<<10)}
	b.ReportAllocs()

	for b.Loop() {
		_ = quarantine.RequestDigest(request, "acme")
	}
}
