package server

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/adapter/slots"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/admit/ramp"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// scheduler decides which requests may run. It guards the queue, the concurrency limit and the adapter slots with one mutex.
type scheduler struct {
	// WakeLoader is called when an adapter load may have become possible; set before use.
	WakeLoader func()

	mu    sync.Mutex
	queue queue.Queue
	rate  queue.Rate
	ramp  ramp.Ramp
	slots slots.Slots
	// jobs holds the waiting jobs by their queue item.
	jobs map[*queue.Item]*job
	// running is the number of concurrency slots in use; it increases only while it is below the ramp's limit.
	running int
	// runningCost is the sum of the costs of the running requests, in tokens.
	runningCost int64
}

// schedulerLimits are the settings of the scheduler, from the fleet document.
type schedulerLimits struct {
	maxQueued          int
	initialConcurrency int
	maxConcurrency     int
}

func (s *scheduler) configure(limits schedulerLimits) {
	s.queue.Limit = limits.maxQueued
	s.ramp.Configure(limits.initialConcurrency, limits.maxConcurrency)
}

// enqueue adds a job to the queue, or returns the reason for its refusal. canLoad is true if adapters can be loaded now.
func (s *scheduler) enqueue(now time.Time, j *job, limits schedulerLimits, canLoad bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.configure(limits)

	if err := s.acquireAdapter(now, j, canLoad); err != nil {
		return err
	}

	dropped, err := s.queue.Push(now, &j.item, s.throughput())
	if err != nil {
		s.releaseAdapter(j)
		return s.withColdStart(err)
	}

	s.jobs[&j.item] = j

	if dropped != nil {
		s.refuse(s.jobs[dropped], fault.New(fault.Overloaded, "displaced from the queue by a request of a higher class"))
	}

	s.dispatch(now)

	return nil
}

// withColdStart changes the kind of a refusal to a cold start while the backend server is cold, and keeps its retry delay.
func (s *scheduler) withColdStart(err error) error {
	if !s.ramp.Cold() {
		return err
	}

	return fault.Wrap(err, fault.Cold, "the backend server is in a cold start").WithRetryAfter(fault.FromError(err).RetryDelay())
}

// throughput returns the expected throughput of the backend server for the admission check of the queue.
func (s *scheduler) throughput() queue.Throughput {
	throughput := queue.Throughput{Rate: s.rate.Total(s.ramp.Limit())}

	if s.running >= s.ramp.Limit() {
		throughput.BusyTokens = float64(s.runningCost) / float64(s.running)
	}

	return throughput
}

// dispatch assigns free concurrency slots to waiting jobs.
func (s *scheduler) dispatch(now time.Time) {
	defer s.updateGauges()

	for s.running < s.ramp.Limit() {
		item := s.queue.Pop()
		if item == nil {
			return
		}

		j := s.jobs[item]
		delete(s.jobs, item)

		s.running++
		invariant.Check(s.running <= s.ramp.Limit(), "gate.limit", "%d requests run with a limit of %d", s.running, s.ramp.Limit())
		s.runningCost += item.Cost
		j.hasSlot = true
		j.startedAt = now
		j.rampEpoch = s.ramp.Epoch()
		j.decision <- nil
	}
}

func (s *scheduler) updateGauges() {
	runningGauge.Update(int64(s.running))
	queuedGauge.Update(int64(s.queue.Len()))
	limitGauge.Update(int64(s.ramp.Limit()))
}

// refuseWaiting refuses all jobs that wait.
func (s *scheduler) refuseWaiting(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for item, j := range s.jobs {
		s.queue.Remove(item)
		s.refuse(j, err)
	}

	s.updateGauges()
}

// refuse sends a refusal to a waiting job that was removed from the queue.
func (s *scheduler) refuse(j *job, err error) {
	delete(s.jobs, &j.item)
	s.releaseAdapter(j)
	j.decision <- err
}

func (s *scheduler) releaseAdapter(j *job) {
	if j.waiter != nil {
		s.slots.Release(j.waiter)
		s.WakeLoader()
	}
}

// withdraw removes a job that did not run, whether it is queued or has a concurrency slot.
func (s *scheduler) withdraw(now time.Time, j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.jobs[&j.item] != nil {
		delete(s.jobs, &j.item)
		s.queue.Remove(&j.item)
		s.releaseAdapter(j)
	}

	s.freeSlot(now, j, 0)
}

// finish releases the slot of a job that ran. succeeded is true if it completed, and used is the part of its cost that it
// used, in tokens.
func (s *scheduler) finish(now time.Time, j *job, succeeded bool, used int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if succeeded {
		s.rate.Observe(j.item.Cost, now.Sub(j.startedAt))
		s.ramp.Complete(j.rampEpoch)
	}

	s.freeSlot(now, j, used)
}

// freeSlot releases the concurrency slot of a job, if it has one.
func (s *scheduler) freeSlot(now time.Time, j *job, used int64) {
	if !j.hasSlot {
		return
	}

	j.hasSlot = false
	s.running--
	s.runningCost -= j.item.Cost
	s.queue.RefundUnused(&j.item, used)
	invariant.Check(s.running >= 0, "gate.running", "%d requests are running", s.running)
	s.releaseAdapter(j)
	s.dispatch(now)
}

// observe records the service time of one event or call.
func (s *scheduler) observe(now time.Time, j *job, phase ramp.Phase, took time.Duration, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.ramp.Observe(now, j.rampEpoch, phase, took, tokens) {
		coldStarts.Inc(1)
	}
}

// jobCount returns the number of queued and running jobs.
func (s *scheduler) jobCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.running + s.queue.Len()
}

// loadStatus returns the load for a message to an entry. It includes the list of resident adapters only if its epoch differs
// from known, and never if known is noResidentList.
func (s *scheduler) loadStatus(known int64) *rpc.Load {
	s.mu.Lock()
	defer s.mu.Unlock()

	load := &rpc.Load{
		Running:       int32(s.running),
		Queued:        int32(s.queue.Len()),
		Limit:         int32(s.ramp.Limit()),
		Cold:          s.ramp.Cold(),
		ResidentEpoch: s.slots.Epoch(),
	}

	if known != noResidentList && load.ResidentEpoch != known {
		load.Resident, load.ResidentEpoch = s.slots.Resident()
		load.ResidentSent = true
	}

	return load
}
