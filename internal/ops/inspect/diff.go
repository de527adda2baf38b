package inspect

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
)

// item is an entry of the configuration in a form that can be compared.
type item struct {
	place  string
	fields []field
	keys   []string
}

// field is a value in readable form, with its name.
type field struct {
	name, value string
}

// Diff returns the differences of a draft from the base, one line each. Entries are compared by name.
func Diff(base, draft *Draft) []string {
	before, after := base.items(), draft.items()

	var lines []string

	for _, old := range before {
		if find(after, old.place) == nil {
			lines = append(lines, "removed: "+old.place)
		}
	}

	for i := range after {
		old := find(before, after[i].place)
		if old == nil {
			lines = append(lines, "added: "+after[i].place)
			continue
		}

		lines = append(lines, old.changes(&after[i])...)
	}

	return lines
}

// CompareVersions returns a finding if the version of the draft is not higher than that of the base.
func CompareVersions(base, draft *Draft) []Finding {
	if draft.Version > base.Version {
		return nil
	}

	text := fmt.Sprintf("%d is not higher than %d, the version in force", draft.Version, base.Version)

	return []Finding{{Class: Error, Place: PlaceVersion, Text: text}}
}

func find(items []item, place string) *item {
	at := slices.IndexFunc(items, func(i item) bool { return i.place == place })
	if at < 0 {
		return nil
	}

	return &items[at]
}

func (i *item) changes(after *item) []string {
	fields, removed, added := changedFields(i.fields, after.fields), missing(i.keys, after.keys), missing(after.keys, i.keys)
	lines := make([]string, 0, len(fields)+len(removed)+len(added))

	for _, f := range fields {
		lines = append(lines, fmt.Sprintf("changed: %s: %s: %s -> %s", i.place, f[0].name, f[0].value, f[1].value))
	}

	for _, key := range removed {
		lines = append(lines, fmt.Sprintf("changed: %s: API key %s removed", i.place, MaskKey(key)))
	}

	for _, key := range added {
		lines = append(lines, fmt.Sprintf("changed: %s: API key %s added", i.place, MaskKey(key)))
	}

	return lines
}

const absent = "none"

// changedFields returns the pairs of fields whose values differ; a field that only one side has is absent on the other.
func changedFields(before, after []field) [][2]field {
	var pairs [][2]field

	for _, old := range before {
		current := field{old.name, value(after, old.name)}
		if current != old {
			pairs = append(pairs, [2]field{old, current})
		}
	}

	for _, current := range after {
		if !slices.ContainsFunc(before, func(f field) bool { return f.name == current.name }) {
			pairs = append(pairs, [2]field{{current.name, absent}, current})
		}
	}

	return pairs
}

func value(fields []field, name string) string {
	for _, f := range fields {
		if f.name == name {
			return f.value
		}
	}

	return absent
}

// missing returns the elements of from that are not in other.
func missing(from, other []string) []string {
	return slices.DeleteFunc(slices.Clone(from), func(key string) bool { return slices.Contains(other, key) })
}

func (d *Draft) items() []item {
	items := make([]item, 0, len(d.Routes)+len(d.Services)+len(d.Accounts)+1)

	for i, route := range d.Routes {
		items = append(items, item{place: Place(KindRoute, route.Name, i), fields: routeFields(route)})
	}

	for i, service := range d.Services {
		items = append(items, item{place: Place(KindService, service.Name, i), fields: serviceFields(service)})
	}

	for i, account := range d.Accounts {
		items = append(items, item{place: Place(KindAccount, account.Name, i), fields: accountFields(account), keys: account.Keys})
	}

	return distinct(append(items, item{place: PlaceLimits, fields: limitFields(d.Limits)}))
}

// distinct numbers the places of entries with the same name, so that each is compared with its counterpart.
func distinct(items []item) []item {
	count := map[string]int{}

	for i := range items {
		place := items[i].place
		count[place]++

		if n := count[place]; n > 1 {
			items[i].place = fmt.Sprintf("%s (entry %d of this name)", place, n)
		}
	}

	return items
}

func newField(name string, value any) field {
	return field{name, fmt.Sprint(value)}
}

func routeFields(route catalog.Route) []field {
	return []field{
		newField("host", strconv.Quote(route.Host)), newField("prefix", strconv.Quote(route.Prefix)), newField("stream", route.Stream),
		newField("retry policy", retryPolicy(route.RetryPolicy)), newField("timeout", route.Timeout), newField("latency target", route.Objective),
		newField("longest pause", route.GapTarget), newField("priority", route.Urgency), newField("services", targets(route.Targets)),
		newField("attempts", route.MaxAttempts), newField("public", route.Public),
	}
}

func retryPolicy(policy catalog.RetryPolicy) string {
	switch policy {
	case catalog.Idempotent:
		return "idempotent"
	case catalog.Resumable:
		return "resumable"
	default:
		return "at most once"
	}
}

func targets(list []catalog.Target) string {
	parts := make([]string, 0, len(list))
	for _, target := range list {
		parts = append(parts, fmt.Sprintf("%q %v", target.Service, target.Weight))
	}

	return strings.Join(parts, ", ")
}

func serviceFields(service catalog.Service) []field {
	fields := []field{newField("cold rate", service.ColdRate)}

	if scale := service.Scale; scale != nil {
		fields = append(fields, newField("fewest servers", scale.Min), newField("most servers", scale.Max), newField("boot time", scale.Boot))
	}

	engine := service.Engine
	if engine == nil {
		return fields
	}

	fields = append(fields, newField("slots", engine.Slots), newField("cache tokens", engine.KVCapacity),
		newField("weights in MB", engine.CapacityMB), newField("adapters held", engine.AdapterSlots))

	for i, model := range engine.Models {
		place := Place(KindModel, model.Name, i)
		fields = append(fields, newField(place+" in MB", model.WeightsMB), newField(place+" adapter in MB", model.AdapterMB))
	}

	return fields
}

func accountFields(account catalog.Account) []field {
	fields := []field{
		newField("counts tokens", account.CountsTokens), newField("usual cost", account.DefaultCost),
		newField("rate", account.Rate), newField("burst", account.Burst),
	}

	if account.HasUrgency {
		fields = append(fields, newField("priority", account.Urgency))
	}

	return fields
}

func limitFields(limits catalog.Limits) []field {
	return []field{
		newField("largest header", limits.MaxHeaderBytes), newField("largest body", limits.MaxBodyBytes),
		newField("header timeout", limits.HeaderTimeout), newField("idle timeout", limits.IdleTimeout),
	}
}
