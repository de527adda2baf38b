package engine

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Faults is the position of all fault switches of an engine.
type Faults struct {
	switches.State
	// Cold begins a cold start of this many milliseconds.
	Cold int64 `json:"cold"`
	// Quiet makes that cold start one that is not reported.
	Quiet bool `json:"quiet"`
	// Restart restarts the engine empty, under a new boot id.
	Restart bool `json:"restart"`
	// Fail is the number of loads still to fail.
	Fail int64 `json:"fail"`
	// Crossed is the number of streams still to get events of another request mixed in.
	Crossed int64 `json:"crossed"`
	// Cut is the number of streams still to be cut before the end marker.
	Cut int64 `json:"cut"`
}

// counters holds the switches that count down.
type counters struct {
	Fail    int64
	Crossed int64
	Cut     int64
}

// Faults returns the position of the switches; Cold, Quiet and Restart act once and are not kept.
func (m *Model) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()

	return Faults{State: m.switches.State(), Fail: m.faults.Fail, Crossed: m.faults.Crossed, Cut: m.faults.Cut}
}

// SetFaults changes the position of the switches.
func (m *Model) SetFaults(faults Faults) {
	if faults.Restart {
		m.Restart()
	}

	if faults.Cold > 0 {
		m.TurnCold(time.Duration(faults.Cold)*time.Millisecond, faults.Quiet)
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.switches.Set(faults.State)
	m.faults = counters{Fail: faults.Fail, Crossed: faults.Crossed, Cut: faults.Cut}
}

func takeOne(count *int64) bool {
	if *count <= 0 {
		return false
	}

	*count--

	return true
}
