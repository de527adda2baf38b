package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/scale"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
)

// tokensPerPrompt is the number of prompt tokens that wait at a model server for which one request is assumed to wait. Measured on
// semillitas-red-grown, scale-1: 2 to 3 prompts have 4,200 tokens together.
const tokensPerPrompt = 1700

// ServiceLoads returns the load of the services whose servers the system orders, by failure domain, as far as they have servers there.
func (e *Entry) ServiceLoads() []scale.Load {
	config := e.config.Load()
	if config == nil || !e.Fleet.HasSynced() {
		return nil
	}

	servers := e.Fleet.All()
	loads := map[scale.Subject]*scale.Load{}

	for _, service := range config.Services {
		if service.Scale == nil {
			continue
		}

		for _, server := range servers {
			if server.Service != service.Name {
				continue
			}

			subject := scale.Subject{Service: service.Name, Domain: server.Domain}
			if loads[subject] == nil {
				bounds := scale.Bounds{Min: service.Scale.Min, Max: service.Scale.Max, Boot: service.Scale.Boot}
				loads[subject] = &scale.Load{Subject: subject, Bounds: bounds, Known: true}
			}

			e.addLoad(loads[subject], service, server)
		}
	}

	sorted := make([]scale.Load, 0, len(loads))
	for _, load := range loads {
		sorted = append(sorted, *load)
	}

	slices.SortFunc(sorted, func(a, b scale.Load) int {
		return cmp.Or(cmp.Compare(a.Subject.Service, b.Subject.Service), cmp.Compare(a.Subject.Domain, b.Subject.Domain))
	})

	return sorted
}

// addLoad adds the load of a server. What a draining server runs is not added: it ends there.
func (e *Entry) addLoad(load *scale.Load, service catalog.Service, server fleet.Server) {
	if server.Draining {
		return
	}

	load.Servers++
	load.Slots = max(load.Slots, server.Slots)

	if service.Engine == nil {
		own, others, _ := e.plainLoads.load(time.Now(), server.ID)
		load.Running += float64(own) + float64(others)

		return
	}

	load.Slots = max(load.Slots, service.Engine.Slots)
	state, known := e.Links.State(server.ID)
	load.Known = load.Known && known
	load.Running += float64(state.Running)
	load.Waiting += float64(state.Backlog) / tokensPerPrompt
}
