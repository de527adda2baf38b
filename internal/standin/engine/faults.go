package engine

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Faults holds the settings of all fault switches of an engine.
type Faults struct {
	switches.State
	// ColdStartMS makes the engine cold for this many milliseconds; see Config.ColdLimit for the effect.
	ColdStartMS int64 `json:"cold"`
	// HideColdStart is true if reports do not show that the engine is cold.
	HideColdStart bool `json:"quiet"`
	// Restart restarts the engine without adapters and requests, under a new boot id.
	Restart bool `json:"restart"`
	// FailingLoads is the number of adapter loads that are still to fail.
	FailingLoads int64 `json:"fail"`
	// MixedStreams is the number of streams that are still to contain events of another request.
	MixedStreams int64 `json:"crossed"`
	// TruncatedStreams is the number of streams that are still to end before their end marker.
	TruncatedStreams int64 `json:"cut"`
}

// faultCounters holds the fault switches that count down.
type faultCounters struct {
	FailingLoads     int64
	MixedStreams     int64
	TruncatedStreams int64
}

// Faults returns the settings of the fault switches; ColdStartMS, HideColdStart and Restart act once and are not kept.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return Faults{
		State: s.switches.State(), FailingLoads: s.faults.FailingLoads, MixedStreams: s.faults.MixedStreams,
		TruncatedStreams: s.faults.TruncatedStreams,
	}
}

// SetFaults replaces the settings of all fault switches. Zero values of ColdStartMS and Restart have no effect.
func (s *Server) SetFaults(faults Faults) {
	if faults.Restart {
		s.Restart()
	}

	if faults.ColdStartMS > 0 {
		s.BeginColdStart(time.Duration(faults.ColdStartMS)*time.Millisecond, faults.HideColdStart)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.switches.Set(faults.State)
	s.faults = faultCounters{
		FailingLoads: faults.FailingLoads, MixedStreams: faults.MixedStreams, TruncatedStreams: faults.TruncatedStreams,
	}
}

// consume decrements a positive count and reports whether it was positive.
func consume(count *int64) bool {
	if *count <= 0 {
		return false
	}

	*count--

	return true
}
