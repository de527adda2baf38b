package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// snapshot is the state of the engine from a moment on.
type snapshot struct {
	from   time.Time
	report engine.Report
}

// Report implements engine.Engine; it returns the state of Config.ReportLag ago.
func (m *Server) Report(ctx context.Context) (engine.Report, error) {
	var report engine.Report

	err := m.do(ctx, false, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()

		then := time.Now().Add(-m.config.ReportLag)
		m.prune(then)

		report = m.history[0].report
		report.Cold = !m.quiet && then.Before(m.coldUntil)

		return nil
	})

	return report, err
}

// note records the present state in the history.
func (m *Server) note() {
	now := time.Now()
	m.history = append(m.history, snapshot{from: now, report: m.present()})
	m.prune(now.Add(-m.config.ReportLag))
}

// prune drops the snapshots that a newer one had replaced by then; at least one remains.
func (m *Server) prune(then time.Time) {
	for len(m.history) > 1 && !m.history[1].from.After(then) {
		m.history = m.history[1:]
	}
}

func (m *Server) present() engine.Report {
	report := engine.Report{
		Boot:     m.boot,
		Resident: []engine.Adapter{},
		Loading:  []engine.Adapter{},
		Running:  []engine.RunningRequest{},
		Waiting:  len(m.waiting),
	}

	for adapter := range m.resident {
		report.Resident = append(report.Resident, adapter)
	}

	for adapter := range m.loading {
		report.Loading = append(report.Loading, adapter)
	}

	for _, a := range m.running {
		report.Running = append(report.Running, engine.RunningRequest{ID: a.request.ID, Adapter: a.request.Adapter})
	}

	slices.SortFunc(report.Resident, compare)
	slices.SortFunc(report.Loading, compare)

	return report
}

func compare(a, b engine.Adapter) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}
