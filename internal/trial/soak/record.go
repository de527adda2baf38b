package soak

import (
	"fmt"
	"sync"
	"time"
)

// historyWindow is how far around a start the events are told.
const historyWindow = 5 * time.Second

// start is one request that a backend server accepted.
type start struct {
	// at is when the agent called the backend server.
	at     time.Time
	server string
	domain string
}

// Record is what callers, engines and order servers saw.
type Record struct {
	// secrets are the keys of all callers; set before the first process starts.
	secrets []string

	mu sync.Mutex
	// starts maps the nonce of a request to where it ran.
	starts  map[string][]start
	answers []*answer
	events  []event
	// violations are found while the run goes on.
	violations []string
}

// event is an operation that changes what may run.
type event struct {
	at   time.Time
	kind string
	name string
}

func newRecord() *Record {
	return &Record{starts: map[string][]start{}}
}

func (r *Record) started(nonce string, one start) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.starts[nonce] = append(r.starts[nonce], one)
}

func (r *Record) answered(one *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.answers = append(r.answers, one)
}

func (r *Record) note(kind, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.events = append(r.events, event{at: time.Now(), kind: kind, name: name})
}

func (r *Record) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// history describes all calls with a nonce and where they ran.
func (r *Record) history(nonce string) string {
	text := ""

	for _, each := range r.answers {
		if each.nonce == nonce {
			text += fmt.Sprintf("%s@%s %s to %s at %s: %s %s %v; ", each.adapter, each.version,
				each.sent.Format(time.StampMilli), each.ended.Format(time.StampMilli), each.entry, each.class(), each.message, each.err)
		}
	}

	for _, one := range r.starts[nonce] {
		text += fmt.Sprintf("ran %s at %s; ", one.at.Format(time.StampMilli), one.server)

		for _, each := range r.events {
			if age := one.at.Sub(each.at); age.Abs() < historyWindow {
				text += fmt.Sprintf("%s %s %s; ", each.at.Format(time.StampMilli), each.kind, each.name)
			}
		}
	}

	return text
}
