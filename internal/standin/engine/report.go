package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
)

// snapshot is the state of the engine from a time on, until the next snapshot.
type snapshot struct {
	from   time.Time
	report api.Report
}

// Report implements api.Engine. It returns the state as of Config.ReportLag ago.
func (s *Server) Report(ctx context.Context) (api.Report, error) {
	var report api.Report

	err := s.do(ctx, false, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()

		then := time.Now().Add(-s.config.ReportLag)
		s.prune(then)

		report = s.history[0].report
		report.Cold = !s.coldHidden && then.Before(s.coldUntil)

		return nil
	})

	return report, err
}

// recordReport appends the current state to the history.
func (s *Server) recordReport() {
	now := time.Now()
	s.history = append(s.history, snapshot{from: now, report: s.currentReport()})
	s.prune(now.Add(-s.config.ReportLag))
}

// prune removes the snapshots that a newer one had replaced by the given time; at least one remains.
func (s *Server) prune(then time.Time) {
	for len(s.history) > 1 && !s.history[1].from.After(then) {
		s.history = s.history[1:]
	}
}

func (s *Server) currentReport() api.Report {
	report := api.Report{
		Boot:     s.boot,
		Resident: []api.Adapter{},
		Loading:  []api.Adapter{},
		Running:  []api.RunningRequest{},
		Waiting:  len(s.waiting),
	}

	for adapter := range s.resident {
		report.Resident = append(report.Resident, adapter)
	}

	for adapter := range s.loading {
		report.Loading = append(report.Loading, adapter)
	}

	for _, g := range s.running {
		report.Running = append(report.Running, api.RunningRequest{ID: g.request.ID, Adapter: g.request.Adapter})
	}

	slices.SortFunc(report.Resident, compareAdapters)
	slices.SortFunc(report.Loading, compareAdapters)

	return report
}

func compareAdapters(a, b api.Adapter) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}
