package ops

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// totalShare is the share of all of an account's tokens, in the unit of board.Holder.Share, millionths.
const totalShare = 1e6

func (a *API) status(c echo.Context) error {
	d, err := a.document()
	if err != nil {
		return err
	}

	confirmation := a.Board.Confirmation.Value()
	now := time.Now()

	return c.JSON(http.StatusOK, api.Status{
		Entry: a.Name, Version: d.Version, ConfirmationAge: ageSeconds(confirmation.AsOf), Fresh: follow.IsFresh(confirmation, now),
		Entries: a.entries(d.Version), Domains: a.domains(d), Servers: a.servers(d), Holders: a.holders(),
		PendingRevocations: slices.Sorted(maps.Keys(a.Board.PendingRevocations.Value())),
	})
}

// inForce asks every listed entry for its version and reports whether a version is in force.
func (a *API) inForce(c echo.Context) error {
	version, err := strconv.ParseInt(c.Param("version"), 10, 64)
	if err != nil {
		return fault.New(fault.InvalidRequest, "version %q is not a number", c.Param("version")).WithParam("version")
	}

	ctx := c.Request().Context()
	if err := a.Follower.CatchUp(ctx, version); err != nil {
		return err
	}

	a.Follower.SyncAll(ctx)

	report := api.VersionReport{Version: version, Entries: a.entries(version)}

	// This entry reached the version after it was committed, so the time since then is a safe bound on this clock.
	if reached, ok := a.Follower.ReachedAt(version); ok {
		report.Remaining = max(0, follow.MaxConfirmationAge-time.Since(reached)).Seconds()
	}

	report.InForce = report.Remaining == 0 && !slices.ContainsFunc(report.Entries, func(entry api.Entry) bool {
		return entry.State != api.EntryConfirmed
	})

	return c.JSON(http.StatusOK, report)
}

// entries returns the listed entries with the last known version and contact of each.
func (a *API) entries(version int64) []api.Entry {
	var (
		found []api.Entry
		peers = a.Board.Peers.Value()
	)

	for _, vm := range a.Board.VMs.Value().VMs {
		if vm.Role != vms.RoleEntry {
			continue
		}

		entry := api.Entry{Name: vm.Name, Address: vm.Address, Domain: vm.Domain, Version: -1, LastContactAge: -1}

		if vm.Name == a.Name {
			entry.Version = a.Board.Document.Value().Version
			entry.LastContactAge = 0
		} else if peer, ok := peers[vm.Address]; ok {
			entry.Version = peer.Version
			entry.LastContactAge = ageSeconds(peer.LastContact)
		}

		entry.State = entryState(entry, version)
		found = append(found, entry)
	}

	slices.SortFunc(found, func(x, y api.Entry) int { return compareDomainAndName(x.Domain, y.Domain, x.Name, y.Name) })

	return found
}

func entryState(entry api.Entry, version int64) api.EntryState {
	switch {
	case entry.LastContactAge >= 0 && entry.Version >= version:
		return api.EntryConfirmed
	case entry.LastContactAge < 0 || entry.LastContactAge > follow.MaxConfirmationAge.Seconds():
		return api.EntryUnreachable
	default:
		return api.EntryBehind
	}
}

func (a *API) domains(d *document.Document) []api.Domain {
	byName := map[string]*api.Domain{}

	get := func(name string) *api.Domain {
		if byName[name] == nil {
			item := d.Domains[name]
			byName[name] = &api.Domain{Name: name, Out: item.Out, Reason: item.Reason, Since: item.Since}
		}

		return byName[name]
	}

	for name := range d.Domains {
		get(name)
	}

	for _, vm := range a.Board.VMs.Value().VMs {
		switch vm.Role {
		case vms.RoleEntry:
			get(vm.Domain).Entries++
		case vms.RoleAgent:
			get(vm.Domain).Servers++
		}
	}

	found := make([]api.Domain, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		found = append(found, *byName[name])
	}

	return found
}

func (a *API) servers(d *document.Document) []api.Server {
	var found []api.Server

	for _, vm := range a.Board.VMs.Value().VMs {
		if vm.Role == vms.RoleAgent {
			found = append(found, api.Server{
				Name: vm.Server, VM: vm.Name, Domain: vm.Domain, Serves: vm.Serves, OutReason: outReason(d, vm),
			})
		}
	}

	slices.SortFunc(found, func(x, y api.Server) int { return compareDomainAndName(x.Domain, y.Domain, x.Name, y.Name) })

	return found
}

// outReason returns why a VM gets no new work, or "" if it may get some.
func outReason(d *document.Document, vm vms.VM) string {
	switch {
	case d.Domains[vm.Domain].Out:
		return "failure domain out of service: " + d.Domains[vm.Domain].Reason
	case d.VMs[vm.Name].Out:
		return "VM out of service: " + d.VMs[vm.Name].Reason
	case vm.Terminating:
		return "the platform is removing the VM"
	default:
		return ""
	}
}

func (a *API) holders() map[string][]api.Holder {
	found := map[string][]api.Holder{}

	for account, assignment := range a.Board.Shares.Value() {
		for _, holder := range assignment.Holders {
			found[account] = append(found[account], api.Holder{
				Name: holder.VM, Address: holder.Address, Domain: holder.Domain, Share: float64(holder.Share) / totalShare,
			})
		}
	}

	return found
}

// ageSeconds returns the seconds since a time, or -1 for the zero time.
func ageSeconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}

	return time.Since(at).Seconds()
}

func compareDomainAndName(domain1, domain2, name1, name2 string) int {
	return cmp.Or(strings.Compare(domain1, domain2), strings.Compare(name1, name2))
}
