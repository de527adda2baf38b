package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/pace"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// maxSlownessAge is how long a server counts as slow without a further statement. One that is known as permanently slow may get no request, but
// can only state that it has recovered in a response to one: it is to be used again within 2 s.
const maxSlownessAge = 1500 * time.Millisecond

// plainLoads tracks the number of running and waiting requests at each server of plain services, and how slow it is.
type plainLoads struct {
	mu    sync.Mutex
	loads map[string]*plainLoad
}

// plainLoad is the number of requests of this entry and of other entries at one server.
type plainLoad struct {
	own    int
	others int
	// pace estimates the slowness of the server from its statements.
	pace pace.Estimator
}

// slowness returns how long work is expected to take now, in percent of what is usual for such servers.
func (p *plainLoad) slowness(now time.Time) int {
	if _, age := p.pace.Stated(now); age > maxSlownessAge {
		return pace.Usual
	}

	return p.pace.Slowness(now)
}

func (p *plainLoads) get(id string) *plainLoad {
	if p.loads == nil {
		p.loads = map[string]*plainLoad{}
	}

	found := p.loads[id]
	if found == nil {
		found = &plainLoad{}
		p.loads[id] = found
	}

	return found
}

func (p *plainLoads) begin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.get(id).own++
}

func (p *plainLoads) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.get(id).own--
}

// report updates the number of requests of other entries, and the slowness, from the load that a server reported in a response. The load does
// not include the request of that response, but own still counts it, so that others may be too low by one.
func (p *plainLoads) report(now time.Time, id string, load upstream.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	found := p.get(id)
	found.others = max(load.Running+load.Waiting-found.own, 0)
	found.pace.ObserveSlowness(now, load.Slowness)
}

// load returns the numbers of requests at a server, and its slowness in percent.
func (p *plainLoads) load(now time.Time, id string) (own, others, slowness int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	found := p.get(id)

	return found.own, found.others, found.slowness(now)
}

// retain drops what is known of servers that are not listed and run no request of this entry.
func (p *plainLoads) retain(listed func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	maps.DeleteFunc(p.loads, func(id string, load *plainLoad) bool { return load.own == 0 && !listed(id) })
}
