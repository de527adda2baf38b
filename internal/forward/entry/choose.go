package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
)

// choose returns the server to which the request is sent next.
func (e *Entry) choose(ctx context.Context, j *job) (fleet.Server, *fault.Error) {
	now := time.Now()

	servers := slices.DeleteFunc(e.Fleet.Usable(now, j.service.Name), func(server fleet.Server) bool {
		return j.excluded[server.ID]
	})

	servers, err := e.ofRequiredVersion(j, servers)
	if err != nil {
		return fleet.Server{}, err
	}

	if j.service.Engine != nil {
		return e.chooseModelServer(now, j, servers)
	}

	return e.choosePlain(ctx, j, servers)
}

// chooseModelServer returns the model server with the lowest expected wait, or an error if the request is not to be sent.
func (e *Entry) chooseModelServer(now time.Time, j *job, servers []fleet.Server) (fleet.Server, *fault.Error) {
	name := link.Adapter{Model: j.request.Model, Name: j.request.Adapter}
	version := e.minVersions.get(name)

	var (
		candidates   []place.ModelServer
		usable       []fleet.Server
		modelLoading bool
	)

	for _, server := range servers {
		state, ok := e.Links.State(server.ID)
		if !ok || !state.Ready {
			continue
		}

		if !slices.Contains(state.Models, name.Model) {
			modelLoading = modelLoading || len(state.Models) == 0
			continue
		}

		candidate := j.candidate(now, server, &state, version)
		candidate.Suspect = server.ID != j.returnsTo && e.health.suspect(now, server.ID)
		usable = append(usable, server)
		candidates = append(candidates, candidate)
	}

	query := place.Query{
		Adapter: j.rankingKey(), Domain: e.Domain, PromptTokens: j.request.PromptTokens, MaxGap: j.route.GapTarget, Entries: e.Entries(),
	}
	maxWait := j.maxWait()
	at, wait := place.ChooseWithin(query, candidates, maxWait)
	refused := refuse.CheckModelRequest(refuse.Candidate{
		ID: j.request.ID, Found: at >= 0, ExpectedWait: wait, ModelLoading: modelLoading, MaxWait: maxWait, Objective: j.route.Objective,
		Useful: refuse.MaxRetry(j.remaining()),
	})
	if refused != nil {
		return fleet.Server{}, refused
	}

	j.expectedWait = wait

	return usable[at], nil
}

// candidate returns a model server as a candidate for the request, which needs the given version of its adapter or a newer one.
func (j *job) candidate(now time.Time, server fleet.Server, state *link.State, version int64) place.ModelServer {
	name := link.Adapter{Model: j.request.Model, Name: j.request.Adapter}
	reported, sent := state.Ahead(j.urgency)

	return place.ModelServer{
		ID:               server.ID,
		Domain:           server.Domain,
		Residency:        residency(state, name, version),
		Backlog:          reported,
		Sent:             sent,
		Rate:             state.Rate,
		Slowness:         state.SlownessNow(now),
		Running:          state.Running + state.Sent,
		Fetches:          state.Fetches,
		IdleAdapterSlots: idleAdapterSlots(state, name),
		StartDelay:       state.StartDelay + time.Duration(state.Sent)*state.StartSpacing,
	}
}

// rankingKey returns the key by which model servers are ranked for the request: the adapter, or the first prompt part for
// a request to the base model.
func (j *job) rankingKey() string {
	if j.request.Adapter == "" && len(j.request.PromptParts) > 0 {
		return j.request.Model + "#" + j.request.PromptParts[0].ID
	}

	return j.request.Model + "/" + j.request.Adapter
}

// residency reports whether the server has the adapter, at the given version or a newer one, or is loading it.
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

// idleAdapterSlots returns the number of adapter slots that are available for loading the adapter. It is 0 if the server
// has an older version: that version may be in use and is replaced only after the requests on it have finished.
func idleAdapterSlots(state *link.State, name link.Adapter) int {
	if _, ok := state.Loaded[name]; ok {
		return 0
	}

	return state.IdleAdapterSlots
}

// choosePlain returns a server of a plain service that permits the request, or an error if there is none.
func (e *Entry) choosePlain(ctx context.Context, j *job, servers []fleet.Server) (fleet.Server, *fault.Error) {
	for asked := 0; ; asked++ {
		candidates := e.plainCandidates(time.Now(), servers)

		at := place.ChoosePlain(e.Domain, candidates)
		if at < 0 || asked == maxPermits {
			return fleet.Server{}, refuse.NoPlainServer(j.request.ID, place.NextPlain(candidates))
		}

		if e.permit(ctx, j, servers[at]) {
			return servers[at], nil
		}
	}
}

// plainCandidates returns the servers of a plain service as candidates for a request.
func (e *Entry) plainCandidates(now time.Time, servers []fleet.Server) []place.PlainServer {
	candidates := make([]place.PlainServer, len(servers))

	for i, server := range servers {
		own, others, slowness := e.plainLoads.load(now, server.ID)
		leaving, restLeft := e.notices.check(now, server)
		candidates[i] = place.PlainServer{
			ID:            server.ID,
			Domain:        server.Domain,
			Slots:         server.Slots,
			OwnRequests:   own,
			OtherRequests: others,
			Slowness:      slowness,
			Suspect:       e.health.suspect(now, server.ID),
			Leaving:       leaving,
			RestLeft:      max(restLeft, e.limits.blockedFor(now, server)),
		}
	}

	return candidates
}
