// Package entry serves the requests of clients on the users' platform, which internal/program/hosted runs: it checks them
// against the configuration, chooses backend servers, and forwards the responses. The packages of internal/entry implement
// another entry process, which follows a configuration document in the platform's table and calls its clients callers.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/core/stall"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/startup"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

const (
	// staleMargin is subtracted from the maximum revocation delay to allow for requests in flight.
	staleMargin = 500 * time.Millisecond
	// readyShare is the fraction of the maximum revocation delay after which an entry without a confirmation of its
	// configuration, or whose calls of the store fail, reports that it is not ready.
	readyShare = 0.6
)

// Sink receives the response to one request.
type Sink interface {
	// Begin sends the response head; an error means that the client has disconnected.
	Begin(head message.Head) error
	// Write sends a piece of the body; an error means that the client has disconnected.
	Write(data []byte) error
	// Fail responds with an error. It may only be called before Begin.
	Fail(err *fault.Error)
	// Abort ends the response in a way that the client recognizes as incomplete.
	Abort()
}

// Bounds holds the limits set by the platform for serving requests.
type Bounds struct {
	// MaxRevocationDelay is the time within which a revoked key must stop working.
	MaxRevocationDelay time.Duration
	// RetryRatio and RetryExtra limit the retries of all entries within RetryWindow to RetryRatio times the number of
	// requests plus RetryExtra.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Entry serves requests. Its exported fields are set before use.
type Entry struct {
	// Domain is the failure domain of this entry.
	Domain string
	Bounds Bounds
	// Fleet holds the listed backend servers.
	Fleet *fleet.Fleet
	// Freshness tracks the age of the configuration.
	Freshness *freshness.Tracker
	// Links holds the connections to the agents of the model servers and the state that they report.
	Links *link.Links
	// Pool holds the drpc connections to agents over which requests are sent.
	Pool *conn.Pool
	// PlainClient sends requests to the servers of plain services, which run no models.
	PlainClient *upstream.Client
	// ResponseMemory bounds the memory of the incomplete events of all responses; nil for no bound.
	ResponseMemory *memory.Budget
	// Limiter takes the cost of requests from the quotas of client accounts.
	Limiter *quota.Limiter
	Log     logrus.FieldLogger
	Metrics metrics.Registry
	// Quarantine keeps prompt parts and requests from servers that they end.
	Quarantine *Quarantine
	// Permits asks for requests to servers of plain services that have named a limit.
	Permits *link.PermitClient
	// Changed wakes SyncLinks; its capacity is 1.
	Changed chan struct{}
	// Origins finds where streams began at other entries.
	Origins Origins
	// ListAge returns how long ago the list of servers was confirmed; false if it is known not to be current.
	ListAge func() (time.Duration, bool)
	// MaxListAge is the age of the list above which servers of another version may serve that it lacks.
	MaxListAge time.Duration
	// Entries returns the number of entries that share the common budgets, or a larger one; 0 if it is not known.
	Entries func() int
	// Usage counts the requests of client accounts; nil if they are not reported.
	Usage Usage
	// StartedAt is when the process started.
	StartedAt time.Time
	// Standstill measures for how long the process stands still. Its Run is called by the owner of the entry.
	Standstill stall.Meter

	config      atomic.Pointer[catalog.Config]
	drain       drain
	active      activeRequests
	durations   durations
	minVersions minVersions
	retryBudget retryBudget
	plainLoads  plainLoads
	health      health
	notices     notices
	limits      limits
	ends        pendingEnds
	startup     startup.Gate
	attempts    attempts
	origins     origin.Records
	soleClaims  soleClaims
	// toldVersions holds the software versions of each service that agents were told last; SyncLinks uses it.
	toldVersions map[string][]string
}

// Apply puts a configuration in force unless the one in force is as new or newer, and reports whether it did.
func (e *Entry) Apply(next *catalog.Config) bool {
	for {
		current := e.config.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}

		if e.config.CompareAndSwap(current, next) {
			e.Wake()
			e.Links.NotifySettings()

			return true
		}
	}
}

// Config returns the configuration in force; nil before the first one.
func (e *Entry) Config() *catalog.Config {
	return e.config.Load()
}

// ConfigVersion returns the version of the configuration in force; -1 before the first one.
func (e *Entry) ConfigVersion() int64 {
	if config := e.config.Load(); config != nil {
		return config.Version
	}

	return -1
}

// RequireVersion sets the minimum version of an adapter on which requests may run, unless a higher one is set.
func (e *Entry) RequireVersion(model, adapter string, version int64) {
	e.minVersions.require(link.Adapter{Model: model, Name: adapter}, version)
}

// Drain makes Ready report false for the rest of the process, whose end was announced at the first time, and which cuts off at the second
// what is under way. Requests that may end before are still served, while all those at an entry of internal/entry are refused once it is
// draining.
func (e *Entry) Drain(announced, end time.Time) {
	e.drain.begin(announced, end)
}

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool {
	_, draining := e.drain.left(time.Now())

	return draining
}

// Ready reports whether clients should be routed to this entry, and the reason if not. An entry without a recent confirmation of
// its configuration reports false early, while it still serves the clients that it has.
func (e *Entry) Ready() (bool, string) {
	age, known := e.Freshness.SharedAge()

	switch {
	case e.Draining():
		return false, "draining"
	case e.config.Load() == nil || !known:
		return false, "no configuration"
	case !e.Fleet.HasSynced():
		return false, "no list of servers"
	case e.startupWait(e.config.Load()) > 0:
		return false, "agents not heard or know a newer configuration"
	case age > e.unreadyAge():
		return false, "configuration not confirmed"
	case e.Freshness.FailingFor() > e.unreadyAge():
		return false, "store not reached"
	}

	return true, ""
}

// unreadyAge is the age of the configuration, and the time without a response of the store, above which clients should be routed
// to other entries.
func (e *Entry) unreadyAge() time.Duration {
	return time.Duration(float64(e.Bounds.MaxRevocationDelay) * readyShare)
}

// Serve serves one request and returns when its response is complete or has failed.
func (e *Entry) Serve(ctx context.Context, request *message.Request, sink Sink) {
	j, err := e.admit(ctx, request)
	if err != nil {
		e.reportRefusal(request, err)
		sink.Fail(err)

		return
	}

	j.sink = sink
	j.lateness.Begin(request.Arrived, e.Standstill.Total(time.Now()))

	if j.route.RetryPolicy == catalog.AtMostOnce && !e.attempts.begin(time.Now(), request.ID, j.deadline) {
		err := fault.New(fault.OutcomeUnknown, "a request with the same id has been received")
		e.reportRefusal(request, err)
		sink.Fail(err)

		return
	}

	e.reportTaken(j)
	j.active.ground = j.drain.ground
	e.active.add(j.active)

	defer e.active.remove(j.active)

	bounded, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()

	e.run(bounded, j)
}

// admit checks a request against the configuration and takes its cost from the quota of its client account.
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

	if j.service.Engine != nil && !isText(request) {
		return nil, fault.New(fault.InvalidRequest, "the id, the host or the model of the request is no text in UTF-8")
	}

	if !route.Public && config.RequiresKeys() {
		if err := e.authorize(j, config); err != nil {
			return nil, err
		}
	}

	// A request that is refused here costs its account nothing.
	decision, err := e.checkDrain(j)
	if err != nil {
		return nil, err
	}

	j.drain = decision

	if err := e.Quarantine.check(j); err != nil {
		return nil, err
	}

	return j, e.charge(ctx, j)
}

// isText reports whether what names a request to agents is text. Its target and other headers may hold any bytes.
func isText(request *message.Request) bool {
	for _, name := range []string{request.ID, request.Method, request.Host, request.Model, request.Adapter} {
		if !utf8.ValidString(name) {
			return false
		}
	}

	return true
}

// authorize finds the client account of the request's key and sets the account and its urgency. It refuses all requests while the
// configuration may be too old to contain the latest revocations.
func (e *Entry) authorize(j *job, config *catalog.Config) *fault.Error {
	age, known := e.Freshness.SharedAge()
	if !known || age > e.Bounds.MaxRevocationDelay-staleMargin {
		// Without a confirmation, the age is the time since the VM was booted.
		return fault.New(fault.StaleConfig, "the configuration was last confirmed %d ms ago", age.Milliseconds())
	}

	if wait := e.startupWait(config); wait > 0 {
		return fault.New(fault.NotReady, "the configuration may be older than that of the agents").WithRetryAfter(wait)
	}

	account, ok := config.AccountByKey(j.request.Key)
	if !ok {
		return fault.New(fault.KeyUnknown, "no client account has this key")
	}

	j.account = account

	if account.HasUrgency {
		j.urgency = account.Urgency
	}

	return nil
}

// charge takes the cost of the request from the quota of its client account, if it has one.
func (e *Entry) charge(ctx context.Context, j *job) *fault.Error {
	account := j.account
	if account.Name == "" {
		return nil
	}

	return e.Limiter.Take(ctx, account.Name, account.Rate, account.Burst, account.Cost(j.request.PromptTokens, j.request.MaxOutputTokens))
}

// minVersions holds the minimum versions of adapters on which requests may run.
type minVersions struct {
	mu        sync.Mutex
	byAdapter map[link.Adapter]int64
}

func (v *minVersions) require(name link.Adapter, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if v.byAdapter == nil {
		v.byAdapter = map[link.Adapter]int64{}
	}

	v.byAdapter[name] = max(v.byAdapter[name], version)
}

func (v *minVersions) get(name link.Adapter) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.byAdapter[name]
}
