package engine

import (
	"context"
	"slices"
	"time"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const (
	// batchOverhead is the share of the token time that each further request in the batch adds to it.
	batchOverhead = 0.03
	// prefillRatio is the time for one prompt token, as a share of the token time.
	prefillRatio = 1.0 / 64
	// overloadFactor multiplies the token time of an engine that is cold and has more than ColdLimit requests.
	overloadFactor = 50
	// failFactor is the multiple of ColdLimit beyond which a cold engine fails requests.
	failFactor = 4
)

// Generate implements api.Engine. The request continues after its stream is closed; only Cancel ends it early.
func (s *Server) Generate(ctx context.Context, request api.Request) (api.Stream, error) {
	var opened *stream

	err := s.do(ctx, true, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()

		g, err := s.admit(request)
		if err != nil {
			return err
		}

		opened = s.openStream(ctx, g, 0)

		return nil
	})
	if err != nil {
		return nil, err
	}

	return opened, nil
}

// Cancel implements api.Engine.
func (s *Server) Cancel(ctx context.Context, id string) error {
	return s.do(ctx, true, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()

		if g, ok := s.generations[id]; ok && !g.hasEnded() {
			s.abortRequest(g)
		}

		return nil
	})
}

func (s *Server) admit(request api.Request) (*generation, error) {
	s.dropExpired()

	if len(s.config.Models) > 0 && !slices.Contains(s.config.Models, request.Model) {
		return nil, fault.New(fault.NotFound, "model %s is not loaded", request.Model)
	}

	if !s.isResident(request.Adapter) {
		return nil, fault.New(fault.NotFound, "adapter %s@%s is not resident", request.Adapter.Name, request.Adapter.Version)
	}

	if known, ok := s.generations[request.ID]; ok && !known.hasEnded() {
		return nil, fault.New(fault.BackendFailed, "request %s is already running", request.ID)
	}

	if len(s.running) >= s.config.BatchSize && len(s.waiting) >= s.config.QueueSize {
		return nil, fault.New(fault.Overloaded, "the queue is full")
	}

	g := newGeneration(request)
	s.generations[request.ID] = g
	s.waiting = append(s.waiting, g)
	s.record.Requests++
	s.fillBatch()
	s.recordColdRequests()

	if s.isCold() && s.outstanding() > failFactor*s.config.ColdLimit {
		s.record.FailedColdRequests++
		s.abortRequest(g)
	}

	return g, nil
}

// dropExpired removes the generations that ended more than api.ResumeRetention ago.
func (s *Server) dropExpired() {
	for id, g := range s.generations {
		if g.hasEnded() && time.Since(g.endedAt) > api.ResumeRetention {
			delete(s.generations, id)
		}
	}
}

// fillBatch moves waiting requests into the batch: the highest priority first, and the oldest first within a priority.
func (s *Server) fillBatch() {
	for len(s.running) < s.config.BatchSize && len(s.waiting) > 0 {
		next := 0

		for i, g := range s.waiting {
			if g.request.Priority > s.waiting[next].request.Priority {
				next = i
			}
		}

		g := s.waiting[next]
		s.waiting = slices.Delete(s.waiting, next, next+1)
		s.running = append(s.running, g)
		g.phase = phaseRunning

		go s.run(g)
	}

	s.recordReport()
}

// abortRequest aborts a generation that has not ended and removes it from the batch or the queue.
func (s *Server) abortRequest(g *generation) {
	g.abort()
	s.removeRequest(g)
}

// removeRequest removes a request from the batch or the queue and fills the batch.
func (s *Server) removeRequest(g *generation) {
	same := func(other *generation) bool { return other == g }
	s.running = slices.DeleteFunc(s.running, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.fillBatch()
}

// run generates the output of one request.
func (s *Server) run(g *generation) {
	prefill := time.Duration(float64(PromptTokens(g.request.Prompt)) * prefillRatio * float64(s.config.TokenTime))

	for {
		timer := time.NewTimer(prefill + s.tokenTime())
		prefill = 0

		select {
		case <-timer.C:
		case <-g.aborted:
			timer.Stop()
			return
		}

		if !s.step(g) {
			return
		}
	}
}

func (s *Server) step(g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if g.hasEnded() {
		return false
	}

	if g.advance() {
		return true
	}

	s.removeRequest(g)

	return false
}

// tokenTime returns the time for the next token of each running request. It grows with the batch, and steeply when a cold engine
// has more requests than it can handle.
func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	factor := 1 + batchOverhead*float64(max(0, len(s.running)-1))

	if s.isCold() && s.outstanding() > s.config.ColdLimit {
		factor *= overloadFactor
	}

	return time.Duration(factor * float64(s.config.TokenTime))
}

// outstanding returns the number of requests that were accepted and have not ended.
func (s *Server) outstanding() int {
	return len(s.running) + len(s.waiting)
}
