package engine

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Faults is the position of all fault switches of an engine.
type Faults struct {
	switches.State
	// ColdStartMS begins a cold start of this many milliseconds.
	ColdStartMS int64 `json:"cold"`
	// HideColdStart makes that cold start one that is not reported.
	HideColdStart bool `json:"quiet"`
	// Restart restarts the engine empty, under a new boot id.
	Restart bool `json:"restart"`
	// FailingLoads is the number of loads still to fail.
	FailingLoads int64 `json:"fail"`
	// MixedStreams is the number of streams still to get events of another request mixed in.
	MixedStreams int64 `json:"crossed"`
	// TruncatedStreams is the number of streams still to be cut before the end marker.
	TruncatedStreams int64 `json:"cut"`
}

// counters holds the switches that count down.
type counters struct {
	Fail    int64
	Crossed int64
	Cut     int64
}

// Faults returns the position of the switches; ColdStartMS, HideColdStart and Restart act once and are not kept.
func (m *Server) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()

	return Faults{State: m.switches.State(), FailingLoads: m.faults.Fail, MixedStreams: m.faults.Crossed, TruncatedStreams: m.faults.Cut}
}

// SetFaults changes the position of the switches.
func (m *Server) SetFaults(faults Faults) {
	if faults.Restart {
		m.Restart()
	}

	if faults.ColdStartMS > 0 {
		m.BeginColdStart(time.Duration(faults.ColdStartMS)*time.Millisecond, faults.HideColdStart)
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.switches.Set(faults.State)
	m.faults = counters{Fail: faults.FailingLoads, Crossed: faults.MixedStreams, Cut: faults.TruncatedStreams}
}

func takeOne(count *int64) bool {
	if *count <= 0 {
		return false
	}

	*count--

	return true
}
