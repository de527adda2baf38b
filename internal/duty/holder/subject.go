package holder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
)

const (
	// storeTimeout limits a read of the store, in addition to the time for which the store was asked to wait.
	storeTimeout = 2 * time.Second
	// retryDelay is the time before the store is called again after a failed call.
	retryDelay = time.Second
	// maxPoll is the longest time for which the store is asked to wait for changes.
	maxPoll = 10 * time.Second
	// releaseTimeout limits the release of a lease at the end of the process.
	releaseTimeout = time.Second
)

// Names of log fields.
const (
	fieldDuty  = "duty"
	fieldFence = "fence"
)

// subject is the lease of one duty and subject, with the calls to the store that it needs. One goroutine uses it.
type subject struct {
	key     string
	store   Store
	clock   func() time.Duration
	log     logrus.FieldLogger
	metrics metrics.Registry
	lease   lease.Lease
	// version is that of the whole store, after which changes are awaited.
	version int64
	// adopt is called with the content of each row that is observed.
	adopt func(content lease.Content)
	// heldUntil is the local time in nanoseconds until which the lease is held.
	heldUntil atomic.Int64
}

// holds reports whether the lease is held. It may be called at any time.
func (s *subject) holds() bool {
	return int64(s.clock()) < s.heldUntil.Load()
}

// noteLease updates heldUntil.
func (s *subject) noteLease() {
	now := s.clock()
	s.heldUntil.Store(int64(now + s.lease.Left(now)))
}

// read reads the row, and reports whether that succeeded.
func (s *subject) read(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	requested := s.clock()

	metric.Count(s.metrics, "store.calls.duties")

	page, err := s.store.Read(bounded)
	if err != nil {
		s.log.WithField(fieldDuty, s.key).WithError(err).Warn("duty row not read")
		return false
	}

	found := page.Rows[s.key]
	s.version = page.Version
	s.observe(lease.Answer{Requested: requested, Answered: s.clock(), Clock: page.Clock, Era: page.Era, Row: found.Row, Version: found.Version})

	return true
}

// poll waits for changes of the row, and reports whether the call succeeded.
func (s *subject) poll(ctx context.Context, wait time.Duration) bool {
	bounded, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()

	requested := s.clock()

	metric.Count(s.metrics, "store.calls.duties")

	page, err := s.store.Changes(bounded, s.version, wait)
	if err != nil {
		s.lease.Fail()
		return ctx.Err() == nil && s.read(ctx)
	}

	answered := s.clock()
	answer := lease.Answer{Requested: requested, Answered: answered, Clock: page.Clock, Era: page.Era}

	if found, changed := page.Rows[s.key]; changed && page.Era == s.lease.Era() {
		answer.Row, answer.Version = found.Row, found.Version
	} else {
		answer.Unchanged = true
	}

	s.version = page.Version
	s.observe(answer)

	return true
}

// observe records an answer.
func (s *subject) observe(answer lease.Answer) {
	lost := s.lease.Observe(answer)

	if row := s.lease.Row(); row != nil && !answer.Unchanged {
		s.adopt(row.Content)
	}

	if lost {
		s.log.WithField(fieldDuty, s.key).WithField("holder", s.holderName()).Warn("duty lease lost")
	}

	s.noteLease()
}

// holderName returns the name of the VM that holds the duty; empty if there is none.
func (s *subject) holderName() string {
	if row := s.lease.Row(); row != nil {
		return row.Holder.VM
	}

	return ""
}

// content returns the content of the row; empty if there is no row.
func (s *subject) content() lease.Content {
	if row := s.lease.Row(); row != nil {
		return row.Content
	}

	return lease.Content{}
}

// write takes or renews the lease with new content, and reports whether the row is known to hold it.
func (s *subject) write(ctx context.Context, content lease.Content) bool {
	wasOwn := s.lease.IsOwn()

	write, ok := s.lease.Next(s.clock(), content)
	if !ok || !s.send(ctx, write) {
		return false
	}

	if !wasOwn && s.lease.IsOwn() {
		metric.Count(s.metrics, "duty.lease.taken")
		s.log.WithFields(logrus.Fields{fieldDuty: s.key, fieldFence: s.lease.Fence()}).Info("duty lease taken")
	}

	return s.lease.IsOwn()
}

// send sends a write to the store. After a failure the row is read: the write may have taken effect. The end of ctx does not cancel the write, so
// that the lease can be released after it.
func (s *subject) send(ctx context.Context, write lease.Write) bool {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), lease.WriteTimeout)
	defer cancel()

	metric.Count(s.metrics, "store.calls.duties")

	page, err := s.store.Write(bounded, s.key, write)
	if err == nil {
		version := page.Version
		if found, ok := page.Rows[s.key]; ok {
			version = found.Version
		}

		s.version = page.Version
		s.lease.Confirm(write, lease.Answer{Requested: write.RequestedAt, Answered: s.clock(), Clock: page.Clock, Era: page.Era, Version: version})
		s.noteLease()

		if s.lease.Wrote(write) {
			s.adopt(write.Row.Content)
			return true
		}

		return s.read(ctx) && s.lease.Wrote(write)
	}

	s.log.WithField(fieldDuty, s.key).WithError(err).Info("duty row not written, or its write not confirmed")
	s.lease.Fail()

	return s.read(ctx) && s.lease.Wrote(write)
}

// follow takes the lease with the given content if it has expired. Otherwise it waits until the lease expires or the row changes.
func (s *subject) follow(ctx context.Context, content func() lease.Content) {
	if !s.lease.Known() && !s.read(ctx) {
		s.pause(ctx, retryDelay)
		return
	}

	left := s.lease.TakeAt() - s.clock()

	switch {
	case left > 0:
		if !s.poll(ctx, min(left, maxPoll)) {
			s.pause(ctx, retryDelay)
		}
	case !s.write(ctx, content()):
		s.pause(ctx, retryDelay)
	}
}

// release gives up the lease, so that another VM can take it at once.
func (s *subject) release() {
	if row := s.lease.Row(); row != nil {
		s.releaseWith(row.Content)
	}
}

// releaseWith gives up the lease, and leaves new content in the row.
func (s *subject) releaseWith(content lease.Content) {
	write, ok := s.lease.Release(s.clock(), content)
	if !ok {
		return
	}

	s.noteLease()

	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()

	log := s.log.WithFields(logrus.Fields{fieldDuty: s.key, fieldFence: write.Row.Fence})

	if _, err := s.store.Write(ctx, s.key, write); err != nil {
		log.WithError(err).Warn("duty lease not released, it expires")
		return
	}

	log.Info("duty lease released")
}

// pause waits for the given time, or until the context ends.
func (s *subject) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
