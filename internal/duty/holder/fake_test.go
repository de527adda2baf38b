package holder_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
	"github.com/chestnutbeam/chestnutbeam/internal/duty/usage"
)

const (
	windowLength = 5 * time.Second
	due          = 10 * time.Second
	minTenure    = 3 * time.Second
	thawSlack    = 300 * time.Millisecond
)

// site is a store, a platform and the processes that call them, with faults.
type site struct {
	mu     sync.Mutex
	random *rand.Rand
	begun  time.Time
	// faulty is true while calls fail at random.
	faulty bool
	// refusing is true while the platform refuses all calls, and attempts is the number of calls.
	refusing bool
	attempts int
	// callRate is the number of calls per second that the platform takes, and candidates the number of entries that may order servers.
	callRate   float64
	candidates int
	// ahead is the error of the clocks of all VMs.
	ahead time.Duration

	// key is that of the only row.
	key          string
	version, era int64
	row          *lease.Row
	rowVersion   int64
	copies       []storeCopy
	downUntil    time.Time
	changed      chan struct{}

	processes []*process
	calls     []call
	orders    []order
	// violations lists broken rules, and events what led to them.
	violations, events []string
}

// note records an event. The lock must be held.
func (s *site) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v ", time.Since(s.begun))+fmt.Sprintf(format, args...))
}

type storeCopy struct {
	version, rowVersion int64
	row                 *lease.Row
}

// process is one entry.
type process struct {
	site                  *site
	self                  lease.Holder
	reporter              *holder.UsageReporter
	cancel                context.CancelFunc
	ended                 chan struct{}
	frozenUntil, cutUntil time.Time
	dead, blind           bool
	reader                bool
	// ahead is the error of the clock of the VM.
	ahead time.Duration
	// answers returns what agents answer about a window; nil for other counts at each read.
	answers              func(window int64) (tallies []usage.Tally, complete bool)
	writes, polls, reads int
}

// call is a call to the platform.
type call struct {
	at      time.Time
	process *process
	fence   int64
	report  lease.Report
	excused bool
}

// order is a scaling order.
type order struct {
	process *process
	fence   int64
	order   holder.ScaleOrder
}

var errFault = errors.New("the call failed")

func newSite(seed uint64) *site {
	return &site{random: rand.New(rand.NewPCG(seed, 1)), begun: time.Now(), changed: make(chan struct{}), key: "usage_report"}
}

// start starts a process.
func (s *site) start(vm string, reader, firstStart bool) *process {
	log := logrus.New()
	log.SetOutput(io.Discard)

	s.mu.Lock()
	p := &process{site: s, self: lease.Holder{VM: vm, Process: fmt.Sprint("process-", len(s.processes))}, reader: reader, ended: make(chan struct{})}
	s.processes = append(s.processes, p)
	s.mu.Unlock()

	boot := time.Now().Add(-time.Hour)
	clock := func() time.Duration { return time.Since(boot) }
	own := func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()

		return time.Duration(time.Now().UnixNano()) + s.ahead + p.ahead - clock()
	}
	counting := &holder.Counting{
		Counter: &usage.Counter{Length: windowLength}, Clock: clock, Own: own,
		Differences: func() []time.Duration { return []time.Duration{own(), own(), own()} },
		Record:      func(context.Context, []usage.Window) {},
	}
	p.reporter = &holder.UsageReporter{
		Store: p, Platform: p, Tallies: tallies{p}, Counting: counting, Self: p.self, IsCandidate: func() bool { return p.reader }, Due: due,
		CanCount:  func() bool { return !p.isBlind() },
		MinTenure: minTenure, CallRate: s.callRate, FirstStart: firstStart, Log: log, Metrics: metrics.NewRegistry(),
	}

	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel

	go func() {
		p.reporter.Run(ctx)
		close(p.ended)
	}()

	return p
}

// kill ends a process without a release.
func (p *process) kill() {
	p.site.mu.Lock()
	p.dead = true
	p.site.note("end of %+v", p.self)
	p.site.mu.Unlock()
	p.cancel()
}

// isBlind reports whether the process reaches no agents.
func (p *process) isBlind() bool {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()

	return p.blind
}

// chance reports true with a probability in percent while calls fail at random.
func (s *site) chance(percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faulty && s.random.IntN(100) < percent
}

// refuses counts a call to the platform, and reports whether it refuses all.
func (s *site) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.attempts++

	return s.refusing
}

func (s *site) between(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()

	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// pass waits while the process is frozen, and fails if its calls get nowhere.
func (p *process) pass(ctx context.Context) error {
	for {
		p.site.mu.Lock()
		frozen, cut, dead := time.Until(p.frozenUntil), time.Until(p.cutUntil), p.dead
		p.site.mu.Unlock()

		switch {
		case dead:
			<-ctx.Done()
			return ctx.Err()
		case frozen > 0:
			time.Sleep(frozen)
		case cut > 0:
			<-ctx.Done()
			return ctx.Err()
		default:
			return ctx.Err()
		}
	}
}

// toStore passes a call to the store, with its latency.
func (p *process) toStore(ctx context.Context) error {
	time.Sleep(p.site.between(time.Millisecond, 40*time.Millisecond))

	if err := p.pass(ctx); err != nil {
		return err
	}

	p.site.mu.Lock()
	down := time.Now().Before(p.site.downUntil)
	p.site.mu.Unlock()

	if down {
		return errFault
	}

	return nil
}

// back returns the answer of the store, which may get lost.
func (p *process) back(ctx context.Context, page holder.Page) (holder.Page, error) {
	if p.site.chance(15) {
		<-ctx.Done()
		return holder.Page{}, ctx.Err()
	}

	time.Sleep(p.site.between(time.Millisecond, 40*time.Millisecond))

	return page, p.pass(ctx)
}

// page returns the state of the store. The lock must be held.
func (s *site) page(rows bool) holder.Page {
	page := holder.Page{Version: s.version, Era: s.era, Clock: time.Since(s.begun), Rows: map[string]holder.Row{}}

	if rows && s.row != nil {
		row := *s.row
		page.Rows[s.key] = holder.Row{Version: s.rowVersion, Row: &row}
	}

	return page
}

// Read implements holder.Store.
func (p *process) Read(ctx context.Context) (holder.Page, error) {
	p.count(&p.reads)

	if err := p.toStore(ctx); err != nil {
		return holder.Page{}, err
	}

	p.site.mu.Lock()
	page := p.site.page(true)
	p.site.mu.Unlock()

	return p.back(ctx, page)
}

func (p *process) count(n *int) {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()

	*n++
}

// Changes implements holder.Store.
func (p *process) Changes(ctx context.Context, after int64, wait time.Duration) (holder.Page, error) {
	p.count(&p.polls)

	if err := p.toStore(ctx); err != nil {
		return holder.Page{}, err
	}

	for end := time.Now().Add(wait); ; {
		p.site.mu.Lock()
		s := p.site
		page, changed, lost := s.page(s.rowVersion > after), s.changed, after > s.version
		found := s.rowVersion > after
		s.mu.Unlock()

		if lost {
			return holder.Page{}, holder.ErrHistoryLost
		}

		if found || !time.Now().Before(end) {
			return p.back(ctx, page)
		}

		timer := time.NewTimer(time.Until(end))

		select {
		case <-ctx.Done():
			timer.Stop()
			return holder.Page{}, ctx.Err()
		case <-changed:
		case <-timer.C:
		}

		timer.Stop()
	}
}

// Write implements holder.Store. A write may arrive after its caller has stopped waiting for the answer.
func (p *process) Write(ctx context.Context, _ string, write lease.Write) (holder.Page, error) {
	p.count(&p.writes)

	if err := p.toStore(ctx); err != nil {
		return holder.Page{}, err
	}

	if p.site.chance(10) {
		late := p.site.between(100*time.Millisecond, 4*time.Second)

		go func() {
			time.Sleep(late)
			p.site.apply(write)
		}()

		<-ctx.Done()

		return holder.Page{}, ctx.Err()
	}

	page, ok := p.site.apply(write)
	if !ok {
		return holder.Page{}, errFault
	}

	return p.back(ctx, page)
}

// apply applies a write if the row has the expected version.
func (s *site) apply(write lease.Write) (holder.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if time.Now().Before(s.downUntil) || write.Expected != s.rowVersion {
		return holder.Page{}, false
	}

	s.version++
	s.rowVersion = s.version
	row := write.Row
	s.row = &row
	s.note("written at version %d in era %d: %+v", s.version, s.era, row)
	s.wake()

	return s.page(false), true
}

func (s *site) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// save keeps a copy of the store, and restore brings the store back from an earlier one.
func (s *site) save() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.copies = append(s.copies, storeCopy{version: s.version, rowVersion: s.rowVersion, row: s.row})
}

func (s *site) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.copies) == 0 {
		return
	}

	from := s.copies[max(len(s.copies)-1-s.random.IntN(4), 0)]
	s.version, s.rowVersion, s.row = from.version, from.rowVersion, from.row
	s.era++
	s.note("restored to version %d, era %d, row at version %d: %+v", s.version, s.era, s.rowVersion, s.row)
	s.copies = nil
	s.wake()
}

// Report implements holder.Platform.
func (p *process) Report(ctx context.Context, token holder.Token, report lease.Report) error {
	if err := p.pass(ctx); err != nil {
		return err
	}

	if p.site.refuses() || p.site.chance(20) {
		return &holder.RefusedError{Status: 429}
	}

	p.site.record(p, token, report)

	if p.site.chance(20) {
		<-ctx.Done()
		return ctx.Err()
	}

	time.Sleep(p.site.between(time.Millisecond, 100*time.Millisecond))

	return p.pass(ctx)
}

// Scale implements holder.Platform.
func (p *process) Scale(ctx context.Context, token holder.Token, wanted holder.ScaleOrder) error {
	if err := p.pass(ctx); err != nil {
		return err
	}

	if p.site.refuses() || p.site.chance(50) {
		return &holder.RefusedError{Status: 429}
	}

	s := p.site

	s.mu.Lock()
	defer s.mu.Unlock()

	for _, earlier := range s.orders {
		if earlier.fence > token.Fence || earlier.fence == token.Fence && earlier.process != p {
			s.violations = append(s.violations, fmt.Sprintf("token %d of %s after %d", token.Fence, p.self.Process, earlier.fence))
		}
	}

	s.orders = append(s.orders, order{process: p, fence: token.Fence, order: wanted})

	return nil
}

// record records a call and checks the rules.
func (s *site) record(p *process, token holder.Token, report lease.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	made := call{at: now, process: p, fence: token.Fence, report: report}
	made.excused = now.Sub(p.frozenUntil) < thawSlack || now.Sub(p.cutUntil) < thawSlack

	s.note("call of %+v, excused %t: %+v %+v", p.self, made.excused, token, report)

	for _, earlier := range s.calls {
		s.check(earlier, made)
	}

	s.checkOrder(made)
	s.calls = append(s.calls, made)
}

// check checks a call against an earlier one.
func (s *site) check(earlier, made call) {
	if earlier.fence == made.fence && earlier.process != made.process {
		s.violate(made, "the fencing token of another holder")
	}

	if earlier.fence > made.fence && !made.excused && !earlier.excused {
		s.violate(made, "a lower fencing token after a higher one")
	}

	if earlier.report.Window == made.report.Window && !reflect.DeepEqual(earlier.report, made.report) {
		s.violate(made, "two different reports for one window")
	}
}

// checkOrder checks that holders do not act in the order A, B, A within minTenure.
func (s *site) checkOrder(made call) {
	other := false

	for i := len(s.calls) - 1; i >= 0; i-- {
		earlier := s.calls[i]
		if earlier.excused || made.excused || made.at.Sub(earlier.at) >= minTenure {
			continue
		}

		if earlier.process.self.VM != made.process.self.VM {
			other = true
		} else if other {
			s.violate(made, "holders act in the order A, B, A")
			return
		}
	}
}

func (s *site) violate(made call, rule string) {
	s.violations = append(s.violations, fmt.Sprintf("%v %s %s: %s", made.at.Sub(s.begun), made.process.self.VM, made.process.self.Process, rule))
}

// tallies makes up other counts at each read, so that counts that are read twice for one window are seen.
type tallies struct {
	process *process
}

// Read implements holder.Tallies.
func (t tallies) Read(_ context.Context, window int64) ([]usage.Tally, bool) {
	s := t.process.site

	s.mu.Lock()
	defer s.mu.Unlock()

	if t.process.answers != nil {
		return t.process.answers(window)
	}

	complete := !s.faulty || s.random.IntN(100) < 70

	return []usage.Tally{{Process: "other", Counts: usage.Counts{"acme": 1 + s.random.Int64N(1_000_000)}}}, complete
}
