package entry

import (
	"sync"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
)

// plainLoads tracks the number of running and waiting requests at each server of plain services.
type plainLoads struct {
	mu    sync.Mutex
	loads map[string]*plainLoad
}

// plainLoad is the number of requests of this entry and of other entries at one server.
type plainLoad struct {
	own    int
	others int
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

// report updates the number of requests of other entries from the load that a server reported in a response. The load does
// not include the request of that response, but own still counts it, so that others may be too low by one.
func (p *plainLoads) report(id string, load upstream.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()

	found := p.get(id)
	found.others = max(load.Running+load.Waiting-found.own, 0)
}

func (p *plainLoads) load(id string) (own, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	found := p.get(id)

	return found.own, found.others
}
