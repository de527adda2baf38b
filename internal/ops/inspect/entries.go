package inspect

import (
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
)

// pattern is what a request must have to match a route.
type pattern struct {
	host, prefix string
}

func (r *recorder) routes(draft *Draft) {
	services := map[string]bool{}
	for _, service := range draft.Services {
		services[service.Name] = true
	}

	earlier := map[pattern]string{}

	for i, route := range draft.Routes {
		place := Place(KindRoute, route.Name, i)
		key := pattern{route.Host, route.Prefix}

		if first, ok := earlier[key]; ok {
			r.add(Unmatched, place, "%s has the same host %q and prefix %q", first, route.Host, route.Prefix)
		} else {
			earlier[key] = place
		}

		r.pattern(place, key)
		r.targets(place, route.Targets, services)
		r.latencies(place, route)
	}
}

func (r *recorder) pattern(place string, p pattern) {
	if !strings.HasPrefix(p.prefix, "/") || !strings.HasSuffix(p.prefix, "/") {
		r.add(Unmatched, place, "the prefix %q does not begin and end with a slash", p.prefix)
	}

	switch {
	case p.host == "":
		r.add(Unmatched, place, "the host is missing")
	case strings.Contains(p.host, ":"):
		r.add(Unmatched, place, "the host %q has a port; requests are matched without it", p.host)
	}
}

func (r *recorder) targets(place string, targets []catalog.Target, services map[string]bool) {
	for _, target := range targets {
		switch {
		case target.Service == "":
			r.add(Unmatched, place, "the name of a service is missing")
		case !services[target.Service]:
			r.add(Unmatched, place, "the service %q does not exist", target.Service)
		}
	}
}

func (r *recorder) latencies(place string, route catalog.Route) {
	// A timeout of 0 is no limit.
	if route.Timeout == 0 {
		return
	}

	if route.Objective > route.Timeout {
		r.add(Contradiction, place, "the latency target %v is above the timeout %v", route.Objective, route.Timeout)
	}

	if route.GapTarget > route.Timeout {
		r.add(Contradiction, place, "the longest pause %v is above the timeout %v", route.GapTarget, route.Timeout)
	}
}

func (r *recorder) services(services []catalog.Service) {
	for i, service := range services {
		if service.Engine != nil {
			r.engine(Place(KindService, service.Name, i), service.Engine)
		}
	}
}

func (r *recorder) engine(service string, engine *catalog.Engine) {
	for i, model := range engine.Models {
		place := service + ", " + Place(KindModel, model.Name, i)

		if model.Name == "" {
			r.add(Error, place, "the name is missing")
		}

		switch {
		case model.WeightsMB > engine.CapacityMB:
			r.add(Contradiction, place, "its %v MB exceed the %v MB that a server holds", model.WeightsMB, engine.CapacityMB)
		case model.WeightsMB+model.AdapterMB > engine.CapacityMB:
			r.add(Contradiction, place, "an adapter of %v MB does not fit beside the model of %v MB in the %v MB that a server holds",
				model.AdapterMB, model.WeightsMB, engine.CapacityMB)
		}

		if model.AdapterMB > 0 && engine.AdapterSlots == 0 {
			r.add(Contradiction, place, "the model has adapters, but a server holds none")
		}
	}
}

func (r *recorder) accounts(accounts []catalog.Account) {
	owners := map[string]string{}

	for i, account := range accounts {
		place := Place(KindAccount, account.Name, i)

		if len(account.Keys) == 0 {
			r.add(Unmatched, place, "the account has no API key")
		}

		for _, key := range account.Keys {
			r.key(place, key, owners)
		}

		r.rate(place, account)
	}
}

// key reports a key that is empty or that already has an owner, and records the owner.
func (r *recorder) key(place, key string, owners map[string]string) {
	first, taken := owners[key]

	switch {
	case key == "":
		r.add(Unmatched, place, "an API key is empty")
	case taken && first == place:
		r.add(Error, place, "the API key %s is listed twice", MaskKey(key))
	case taken:
		r.add(Unmatched, place, "the API key %s is also a key of %s; only one of them can match", MaskKey(key), first)
	default:
		owners[key] = place
	}
}

func (r *recorder) rate(place string, account catalog.Account) {
	cost := account.Cost(0, 0)

	switch {
	case account.Rate == 0 && account.Burst > 0:
		r.add(Contradiction, place, "the burst is %v, but the rate 0 means no limit", account.Burst)
	case account.Rate > 0 && account.Burst < cost:
		r.add(Contradiction, place, "the burst %v is below the usual cost %v of one request", account.Burst, cost)
	}
}

func (r *recorder) limits(limits catalog.Limits) {
	if limits.MaxHeaderBytes == 0 {
		r.add(Contradiction, PlaceLimits, "the largest header is 0 bytes")
	}

	if limits.MaxBodyBytes == 0 {
		r.add(Contradiction, PlaceLimits, "the largest body is 0 bytes")
	}

	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		r.add(Contradiction, PlaceLimits, "the header timeout %v is above the idle timeout %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

// shownKeyLength is the number of characters of a key that a report shows at most.
const shownKeyLength = 4

// MaskKey returns the last characters of a key, and never more than half of it.
func MaskKey(key string) string {
	runes := []rune(key)

	return "..." + string(runes[len(runes)-min(shownKeyLength, len(runes)/2):])
}
