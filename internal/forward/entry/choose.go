package entry

import (
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
)

// choose returns the server that the request goes to next.
func (e *Entry) choose(j *job) (fleet.Server, *fault.Error) {
	now := time.Now()

	servers := slices.DeleteFunc(e.Fleet.Usable(now, j.service.Name), func(server fleet.Server) bool {
		return j.passed[server.ID]
	})

	if j.service.Engine != nil {
		return e.chooseEngine(now, j, servers)
	}

	return e.choosePlain(now, j, servers)
}

func (e *Entry) chooseEngine(now time.Time, j *job, servers []fleet.Server) (fleet.Server, *fault.Error) {
	name := link.Adapter{Model: j.request.Model, Name: j.request.Adapter}
	version := e.versions.get(name)

	var (
		engines []place.ModelServer
		usable  []fleet.Server
		loading bool
	)

	for _, server := range servers {
		state, ok := e.Links.State(server.ID)
		if !ok || !state.Ready {
			continue
		}

		if !slices.Contains(state.Models, name.Model) {
			loading = loading || len(state.Models) == 0
			continue
		}

		usable = append(usable, server)
		engines = append(engines, place.ModelServer{
			ID:               server.ID,
			Domain:           server.Domain,
			Residency:        residency(&state, name, version),
			Backlog:          state.Backlog + state.SentTokens,
			Running:          state.Running + state.Sent,
			Fetches:          state.Fetches,
			IdleAdapterSlots: idle(&state, name),
			Suspect:          e.health.suspect(now, server.ID),
		})
	}

	at, wait := place.Choose(place.Query{Adapter: j.placeName(), Domain: e.Domain}, engines)
	refused := refuse.ModelRequest(refuse.Candidate{
		ID: j.request.ID, Found: at >= 0, ExpectedWait: wait, ModelLoading: loading, MaxWait: j.patience(), Objective: j.route.Objective,
	})
	if refused != nil {
		return fleet.Server{}, refused
	}

	j.expected = wait

	return usable[at], nil
}

// placeName returns the name by which servers are ranked for the request.
func (j *job) placeName() string {
	if j.request.Adapter == "" && len(j.request.PromptParts) > 0 {
		return j.request.Model + "#" + j.request.PromptParts[0].ID
	}

	return j.request.Model + "/" + j.request.Adapter
}

func residency(state *link.State, name link.Adapter, version int64) place.Residency {
	held, ok := state.Loaded[name]

	switch {
	case name.Name == "", ok && held >= version:
		return place.Present
	case state.Loading[name]:
		return place.Loading
	default:
		return place.Absent
	}
}

// idle returns the number of places for a load. An older version of the adapter may be in use, and the server replaces it
// only after its runs.
func idle(state *link.State, name link.Adapter) int {
	if _, ok := state.Loaded[name]; ok {
		return 0
	}

	return state.IdleAdapterSlots
}

func (e *Entry) choosePlain(now time.Time, j *job, servers []fleet.Server) (fleet.Server, *fault.Error) {
	candidates := make([]place.PlainServer, len(servers))

	for i, server := range servers {
		own, others := e.plain.load(server.ID)
		candidates[i] = place.PlainServer{
			ID:            server.ID,
			Domain:        server.Domain,
			Slots:         server.Slots,
			OwnRequests:   own,
			OtherRequests: others,
			Suspect:       e.health.suspect(now, server.ID),
		}
	}

	at := place.ChoosePlain(e.Domain, candidates)
	if at < 0 {
		return fleet.Server{}, refuse.PlainRequest(j.request.ID)
	}

	return servers[at], nil
}
