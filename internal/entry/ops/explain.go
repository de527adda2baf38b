package ops

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

const (
	// auditPageSize is the number of log entries read at once.
	auditPageSize = 500
	// defaultAuditLimit is the maximum number of listed changes if the request sets none.
	defaultAuditLimit = 50
)

// explain reports the settings that apply to a request, and their reasons.
func (a *API) explain(c echo.Context) error {
	d, err := a.document()
	if err != nil {
		return err
	}

	query := document.Query{
		Domain: c.QueryParam("domain"), Server: c.QueryParam("server"), Route: c.QueryParam("route"),
		Account: c.QueryParam("account"), Adapter: c.QueryParam("adapter"),
	}

	result := api.Explanation{Version: d.Version, Notes: []string{}}

	a.explainServer(d, &query, &result)
	explainItems(d, query, &result)

	result.Query = query
	result.Explanation = d.Explain(query)

	return c.JSON(http.StatusOK, result)
}

// explainServer sets the query's domain to that of the listed server, and notes why the server gets no new work.
func (a *API) explainServer(d *document.Document, query *document.Query, result *api.Explanation) {
	if query.Server != "" {
		list := a.Board.VMs.Value().VMs
		index := slices.IndexFunc(list, func(vm vms.VM) bool { return vm.Server == query.Server })

		if index < 0 {
			result.Notes = append(result.Notes, fmt.Sprintf("server %q is not listed", query.Server))
		} else {
			query.Domain = list[index].Domain

			if out := outReason(d, list[index]); out != "" {
				result.Notes = append(result.Notes, fmt.Sprintf("server %q gets no new work: %s", query.Server, out))
			}
		}
	}

	if domain := d.Domains[query.Domain]; domain.Out && query.Server == "" {
		result.Notes = append(result.Notes, fmt.Sprintf("failure domain %q is out of service: %s", query.Domain, domain.Reason))
	}
}

func explainItems(d *document.Document, query document.Query, result *api.Explanation) {
	result.Account = lookupItem(d.Accounts, "account", query.Account, result)
	result.Adapter = lookupItem(d.Adapters, "adapter", query.Adapter, result)
	result.Route = lookupItem(d.Routes, "route", query.Route, result)

	if result.Adapter != nil && !allowed(result.Adapter.Accounts, query.Account) {
		result.Notes = append(result.Notes, fmt.Sprintf("account %q may not use adapter %q", query.Account, query.Adapter))
	}

	if result.Account != nil && !allowed(result.Account.Routes, query.Route) {
		result.Notes = append(result.Notes, fmt.Sprintf("account %q may not use route %q", query.Account, query.Route))
	}
}

// lookupItem returns the named item, or nil with a note if there is none.
func lookupItem[T any](items map[string]T, kind, name string, result *api.Explanation) *T {
	if name == "" {
		return nil
	}

	item, ok := items[name]
	if !ok {
		result.Notes = append(result.Notes, fmt.Sprintf("there is no %s %q", kind, name))
		return nil
	}

	return &item
}

func allowed(allowlist []string, name string) bool {
	return name == "" || len(allowlist) == 0 || slices.Contains(allowlist, name)
}

// audit lists the changes that match the filter, newest first.
func (a *API) audit(c echo.Context) error {
	limit, err := positiveParam(c, "limit", defaultAuditLimit)
	if err != nil {
		return err
	}

	ctx := c.Request().Context()

	head, err := a.Store.Head(ctx)
	if err != nil {
		return err
	}

	found := []document.Change{}

	for top := head.Version; top > 0 && len(found) < int(limit); top -= auditPageSize {
		from := max(0, top-auditPageSize)

		page, err := a.Store.LogPage(ctx, from, int(top-from))
		if err != nil {
			return err
		}

		for _, change := range slices.Backward(page) {
			if matchesFilter(c, change) && len(found) < int(limit) {
				found = append(found, change)
			}
		}
	}

	return c.JSON(http.StatusOK, api.Audit{Changes: found})
}

func matchesFilter(c echo.Context, change document.Change) bool {
	author, section, name := c.QueryParam("author"), c.QueryParam("section"), c.QueryParam("name")

	if author != "" && author != change.Author {
		return false
	}

	if section == "" && name == "" {
		return true
	}

	return slices.ContainsFunc(change.Edits, func(edit document.Edit) bool {
		return (section == "" || string(edit.Section) == section) && (name == "" || edit.Name == name)
	})
}

// positiveParam parses a query parameter that must be a positive number; fallback is returned if it is absent.
func positiveParam(c echo.Context, name string, fallback int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}

	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value <= 0 {
		return 0, fault.New(fault.InvalidRequest, "%s %q is not a positive number", name, text).WithParam(name)
	}

	return value, nil
}
