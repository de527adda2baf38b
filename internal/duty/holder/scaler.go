package holder

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/scale"
)

// scalePeriod is the time between two checks of the load.
const scalePeriod = time.Second

// Scaler orders servers. It takes the lease of a service in a failure domain only for an order, so that the store and the platform are called only
// when the number of servers changes. Its exported fields are set before Run.
type Scaler struct {
	Store    Store
	Platform Platform
	// Loads returns the load of all services that are scaled, by failure domain.
	Loads func() []scale.Load
	// Clock returns the local time, which includes the time in which the VM was suspended.
	Clock func() time.Duration
	// Self is this process.
	Self lease.Holder
	// IsCandidate reports whether this entry may take leases.
	IsCandidate func() bool
	// MinTenure is the time within which holders must not act in the order A, B, A.
	MinTenure time.Duration
	// CallRate is the number of calls per second that the platform takes from all VMs together; 0 if it is not limited. Candidates returns how many
	// entries may order servers at the same time; each uses an equal part of the rate of this duty.
	CallRate   float64
	Candidates func() int
	// FirstStart is true if the whole system has just started for the first time.
	FirstStart bool
	Log        logrus.FieldLogger
	Metrics    metrics.Registry

	scalings map[scale.Subject]*scaling
	// nextCall is the local time of the next call to the platform.
	nextCall time.Duration
}

// scaling is the state of one service in a failure domain.
type scaling struct {
	subject  subject
	decision scale.Decision
	// nextTry is the local time of the next attempt to order.
	nextTry time.Duration
}

// Run orders servers until the context ends, and then releases the leases.
func (s *Scaler) Run(ctx context.Context) {
	s.scalings = map[scale.Subject]*scaling{}

	for ctx.Err() == nil {
		for _, load := range s.byLastTry(s.Loads()) {
			s.step(ctx, load)
		}

		select {
		case <-ctx.Done():
		case <-time.After(scalePeriod):
		}
	}

	for _, scaled := range s.scalings {
		scaled.subject.release()
	}
}

// byLastTry sorts the loads by the last attempt to order servers for them, earliest first. Otherwise a subject whose order is refused again and again
// would use the whole rate of calls.
func (s *Scaler) byLastTry(loads []scale.Load) []scale.Load {
	slices.SortStableFunc(loads, func(a, b scale.Load) int {
		return cmp.Compare(s.scaling(a.Subject).nextTry, s.scaling(b.Subject).nextTry)
	})

	return loads
}

// step orders servers of one subject if another number is wanted.
func (s *Scaler) step(ctx context.Context, load scale.Load) {
	scaled := s.scaling(load.Subject)
	now := s.Clock()

	if _, changed := scaled.decision.Decide(now, load); !changed || !s.IsCandidate() || now < scaled.nextTry || now < s.nextCall {
		return
	}

	scaled.nextTry = now + retryDelay

	if !scaled.subject.read(ctx) {
		return
	}

	// Another entry may have ordered meanwhile.
	if row := scaled.subject.lease.Row(); row != nil && row.Content.Servers > 0 {
		scaled.decision.Adopt(row.Content.Servers)
	}

	wanted, changed := scaled.decision.Decide(now, load)
	if !changed {
		return
	}

	s.order(ctx, scaled, ScaleOrder{Service: load.Subject.Service, Domain: load.Subject.Domain, Servers: wanted})
}

// scaling returns the state of a subject.
func (s *Scaler) scaling(of scale.Subject) *scaling {
	if found := s.scalings[of]; found != nil {
		return found
	}

	created := &scaling{}
	created.subject.key, created.subject.store, created.subject.clock = "scale/"+of.Service+"/"+of.Domain, s.Store, s.Clock
	created.subject.log, created.subject.metrics, created.subject.adopt = s.Log, s.Metrics, func(lease.Content) {}
	created.subject.lease = lease.Lease{Self: s.Self, MinTenure: s.MinTenure, FirstStart: s.FirstStart}
	s.scalings[of] = created

	return created
}

// order takes the lease, sends the order, and releases the lease with the new number. If the process ends between, a successor finds the earlier
// number in the row and orders again.
func (s *Scaler) order(ctx context.Context, scaled *scaling, order ScaleOrder) {
	duty := &scaled.subject

	if !duty.lease.IsOwn() || duty.lease.Left(s.Clock()) < callTimeout+callMargin {
		if !duty.lease.IsOwn() && duty.lease.TakeAt() > s.Clock() {
			scaled.nextTry = duty.lease.TakeAt()
			return
		}

		if !duty.write(ctx, duty.content()) {
			return
		}
	}

	timeout := min(callTimeout, duty.lease.Left(s.Clock())-callMargin)
	if timeout < minCallTime {
		return
	}

	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	fence := duty.lease.Fence()
	log := s.Log.WithFields(logrus.Fields{fieldDuty: duty.key, fieldFence: fence, "servers": order.Servers})

	err := s.Platform.Scale(bounded, Token{VM: s.Self.VM, Fence: fence}, order)
	s.nextCall = s.Clock() + retryAfter(s.CallRate/float64(max(s.Candidates(), 1)))
	scaled.nextTry = s.nextCall

	if err != nil {
		metric.Count(s.Metrics, "duty.scale.failed")
		log.WithError(err).Warn("scaling order refused or not answered")

		return
	}

	metric.Count(s.Metrics, "duty.scale.sent")
	log.Info("scaling order sent")
	scaled.decision.Done(order.Servers)

	content := duty.content()
	content.Servers = order.Servers
	duty.releaseWith(content)
}
