package engine

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// batchShare is how much each further request in the batch adds to the token time.
	batchShare = 0.03
	// prefillShare is the time for one prompt token, as a share of the token time.
	prefillShare = 1.0 / 64
	// collapseFactor slows the tokens of a collapsed engine.
	collapseFactor = 50
	// failFactor is the multiple of ColdLimit beyond which a cold engine fails requests.
	failFactor = 4
)

// Generate implements engine.Engine. The request goes on when its stream is closed; only Cancel ends it.
func (m *Server) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	var opened *stream

	err := m.do(ctx, true, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()

		a, err := m.admit(request)
		if err != nil {
			return err
		}

		opened = m.open(ctx, a, 0)

		return nil
	})
	if err != nil {
		return nil, err
	}

	return opened, nil
}

// Cancel implements engine.Engine.
func (m *Server) Cancel(ctx context.Context, id string) error {
	return m.do(ctx, true, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()

		if a, ok := m.answers[id]; ok && !a.over() {
			m.end(a)
		}

		return nil
	})
}

func (m *Server) admit(request engine.Request) (*answer, error) {
	m.forget()

	if len(m.config.Models) > 0 && !slices.Contains(m.config.Models, request.Model) {
		return nil, fault.New(fault.NotFound, "model %s is not loaded", request.Model)
	}

	if !m.holds(request.Adapter) {
		return nil, fault.New(fault.NotFound, "adapter %s@%s is not resident", request.Adapter.Name, request.Adapter.Version)
	}

	if known, ok := m.answers[request.ID]; ok && !known.over() {
		return nil, fault.New(fault.BackendFailed, "request %s is already running", request.ID)
	}

	if len(m.running) >= m.config.BatchSize && len(m.waiting) >= m.config.QueueSize {
		return nil, fault.New(fault.Overloaded, "the waiting list is full")
	}

	a := newAnswer(request)
	m.answers[request.ID] = a
	m.waiting = append(m.waiting, a)
	m.record.Requests++
	m.fill()
	m.observeCold()

	if m.cold() && m.outstanding() > failFactor*m.config.ColdLimit {
		m.record.FailedColdRequests++
		m.end(a)
	}

	return a, nil
}

// forget drops ended answers that are older than the retention.
func (m *Server) forget() {
	for id, a := range m.answers {
		if a.over() && time.Since(a.ended) > engine.ResumeRetention {
			delete(m.answers, id)
		}
	}
}

// fill moves waiting requests into the batch, the highest priority first and the oldest first within it.
func (m *Server) fill() {
	for len(m.running) < m.config.BatchSize && len(m.waiting) > 0 {
		next := 0

		for i, a := range m.waiting {
			if a.request.Priority > m.waiting[next].request.Priority {
				next = i
			}
		}

		a := m.waiting[next]
		m.waiting = slices.Delete(m.waiting, next, next+1)
		m.running = append(m.running, a)
		a.phase = phaseRunning

		go m.run(a)
	}

	m.note()
}

// end takes a request that is not over out of the batch and cuts its answer.
func (m *Server) end(a *answer) {
	a.cut()
	m.leave(a)
}

func (m *Server) leave(a *answer) {
	same := func(other *answer) bool { return other == a }
	m.running = slices.DeleteFunc(m.running, same)
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.fill()
}

// run produces the events of one request.
func (m *Server) run(a *answer) {
	prefill := time.Duration(float64(PromptTokens(a.request.Prompt)) * prefillShare * float64(m.config.TokenTime))

	for {
		timer := time.NewTimer(prefill + m.tokenTime())
		prefill = 0

		select {
		case <-timer.C:
		case <-a.stop:
			timer.Stop()
			return
		}

		if !m.step(a) {
			return
		}
	}
}

func (m *Server) step(a *answer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if a.over() {
		return false
	}

	if a.advance() {
		return true
	}

	m.leave(a)

	return false
}

// tokenTime grows with the batch, and collapses when a cold engine has more requests than it can handle.
func (m *Server) tokenTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()

	factor := 1 + batchShare*float64(max(0, len(m.running)-1))

	if m.cold() && m.outstanding() > m.config.ColdLimit {
		factor *= collapseFactor
	}

	return time.Duration(factor * float64(m.config.TokenTime))
}

// outstanding is the number of requests that were accepted and have not ended.
func (m *Server) outstanding() int {
	return len(m.running) + len(m.waiting)
}
