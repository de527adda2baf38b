// Package entry serves the requests of clients: it checks them against the configuration, chooses backend servers, and
// passes their answers on.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

const (
	// staleMargin is the part of the revocation bound that is kept for a request on its way.
	staleMargin = 500 * time.Millisecond
	// readyShare is the part of the revocation bound after which an entry without news asks for no more clients.
	readyShare = 0.6
)

// Sink takes the answer to one request.
type Sink interface {
	// Begin starts the answer; an error says that the client has gone.
	Begin(head message.Head) error
	// Write passes a piece of the body on.
	Write(data []byte) error
	// Fail answers with an error; only before Begin.
	Fail(err *fault.Error)
	// Abort breaks the answer off visibly.
	Abort()
}

// Bounds are the platform's bounds that decide on requests.
type Bounds struct {
	// MaxRevocationDelay is the time within which a revoked key must stop working.
	MaxRevocationDelay time.Duration
	// RetryRatio and RetryExtra bound the repeated sends in RetryWindow: ratio times the requests plus extra, over all entries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Entry serves requests. Its exported fields are set before use.
type Entry struct {
	// Domain is the failure domain of the process.
	Domain      string
	Bounds      Bounds
	Fleet       *fleet.Fleet
	Freshness   *freshness.Tracker
	Links       *link.Links
	Pool        *conn.Pool
	PlainClient *upstream.Client
	Spender     *quota.Limiter
	Log         logrus.FieldLogger
	Metrics     metrics.Registry
	// Changed wakes SyncLinks; its capacity is 1.
	Changed chan struct{}

	config   atomic.Pointer[catalog.Config]
	draining atomic.Bool
	versions versions
	budget   budget
	plain    plainLoads
	health   health
}

// Apply puts a configuration in force unless a newer one is.
func (e *Entry) Apply(next *catalog.Config) bool {
	for {
		old := e.config.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}

		if e.config.CompareAndSwap(old, next) {
			e.Wake()
			return true
		}
	}
}

// Config returns the configuration in force; nil before the first one.
func (e *Entry) Config() *catalog.Config {
	return e.config.Load()
}

// Require sets the oldest version of an adapter that requests may run on.
func (e *Entry) Require(model, adapter string, version int64) {
	e.versions.require(link.Adapter{Model: model, Name: adapter}, version)
}

// Drain makes the entry say that it is not ready.
func (e *Entry) Drain() {
	e.draining.Store(true)
}

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool {
	return e.draining.Load()
}

// ObserveConfirmation records when the store confirmed a version of the configuration to another entry, as an agent reports
// it. The confirmation is ignored if this entry has an older version.
func (e *Entry) ObserveConfirmation(version int64, at time.Duration) {
	if config := e.config.Load(); config != nil && config.Version >= version {
		e.Freshness.ConfirmRelayed(at)
	}
}

// Ready reports whether clients should come to this entry, and the reason if not. An entry that the store does not answer
// sends clients elsewhere early, even while it still serves those who stay.
func (e *Entry) Ready() (bool, string) {
	age, known := e.Freshness.Age()

	switch {
	case e.draining.Load():
		return false, "draining"
	case e.config.Load() == nil || !known:
		return false, "no configuration"
	case !e.Fleet.HasSynced():
		return false, "no list of servers"
	case age > time.Duration(float64(e.Bounds.MaxRevocationDelay)*readyShare):
		return false, "configuration not confirmed"
	}

	return true, ""
}

// Serve answers one request.
func (e *Entry) Serve(ctx context.Context, request *message.Request, sink Sink) {
	j, err := e.admit(ctx, request)
	if err != nil {
		e.reportRefusal(request, err)
		sink.Fail(err)

		return
	}

	j.sink = sink

	bounded, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()

	e.run(bounded, j)
}

// admit checks a request against the configuration and takes its tokens.
func (e *Entry) admit(ctx context.Context, request *message.Request) (*job, *fault.Error) {
	config := e.config.Load()
	if config == nil {
		return nil, fault.New(fault.NotReady, "no configuration yet")
	}

	route, ok := config.Match(request.Host, request.Path)
	if !ok {
		return nil, fault.New(fault.NotFound, "no such route")
	}

	j := newJob(request, route, config)

	if !route.Public && config.RequiresKeys() {
		if err := e.authorize(ctx, j, config); err != nil {
			return nil, err
		}
	}

	return j, nil
}

func (e *Entry) authorize(ctx context.Context, j *job, config *catalog.Config) *fault.Error {
	age, known := e.Freshness.SharedAge()
	if !known || age > e.Bounds.MaxRevocationDelay-staleMargin {
		return fault.New(fault.StaleConfig, "the configuration was last confirmed %d ms ago", age.Milliseconds())
	}

	account, ok := config.AccountByKey(j.request.Key)
	if !ok {
		return fault.New(fault.KeyUnknown, "no client account has this key")
	}

	j.account = account

	if account.HasUrgency {
		j.urgency = account.Urgency
	}

	return e.Spender.Take(ctx, account.Name, account.Rate, account.Burst, account.Cost(j.request.PromptTokens, j.request.MaxOutputTokens))
}

// versions holds the oldest versions of adapters that requests may run on.
type versions struct {
	mu     sync.Mutex
	oldest map[link.Adapter]int64
}

func (v *versions) require(name link.Adapter, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if v.oldest == nil {
		v.oldest = map[link.Adapter]int64{}
	}

	v.oldest[name] = max(v.oldest[name], version)
}

func (v *versions) get(name link.Adapter) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.oldest[name]
}
