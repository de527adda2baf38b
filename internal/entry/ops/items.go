package ops

import (
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

func (a *API) domainOut(c echo.Context) error {
	return a.state(c, true, func(d *document.Document, name, reason string, out bool) ([]document.Edit, error) {
		if !a.listed(func(vm vms.VM) bool { return vm.Domain == name }) {
			return nil, fault.New(fault.NotFound, "no listed VM is in failure domain %q", name)
		}

		old := d.Domains[name]
		if old.Out == out && old.Reason == reason {
			return nil, nil
		}

		return edit(document.SectionDomain, name, document.Domain{Out: out, Reason: reason})
	})
}

func (a *API) domainIn(c echo.Context) error {
	return a.state(c, false, func(d *document.Document, name, _ string, _ bool) ([]document.Edit, error) {
		if !d.Domains[name].Out {
			return nil, nil
		}

		return edit(document.SectionDomain, name, document.Domain{})
	})
}

func (a *API) vmOut(c echo.Context) error {
	return a.state(c, true, func(d *document.Document, name, reason string, out bool) ([]document.Edit, error) {
		if !a.listed(func(vm vms.VM) bool { return vm.Name == name }) {
			return nil, fault.New(fault.NotFound, "VM %q is not listed", name)
		}

		old := d.VMs[name]
		if old.Out == out && old.Reason == reason {
			return nil, nil
		}

		return edit(document.SectionVM, name, document.VM{Out: out, Reason: reason})
	})
}

// vmIn deletes the item, because VMs are replaced all the time and their names do not return.
func (a *API) vmIn(c echo.Context) error {
	return a.state(c, false, func(d *document.Document, name, _ string, _ bool) ([]document.Edit, error) {
		if !d.VMs[name].Out {
			return nil, nil
		}

		return []document.Edit{{Section: document.SectionVM, Name: name}}, nil
	})
}

// listed guards against misspelled names; without a list every name is accepted.
func (a *API) listed(match func(vm vms.VM) bool) bool {
	list := a.Board.VMs.Value().VMs

	return len(list) == 0 || slices.ContainsFunc(list, match)
}

func (a *API) state(c echo.Context, out bool, edits func(d *document.Document, name, reason string, out bool) ([]document.Edit, error)) error {
	var request api.ItemChange
	if err := bind(c, &request); err != nil {
		return err
	}

	if out {
		if err := requireReason(request); err != nil {
			return err
		}
	}

	name := c.Param("name")

	return a.item(c, request, func(d *document.Document) ([]document.Edit, error) {
		return edits(d, name, request.Reason, out)
	})
}

func (a *API) exceptionAdd(c echo.Context) error {
	var request api.Exception
	if err := bind(c, &request); err != nil {
		return err
	}

	name := c.Param("name")
	wanted := document.Exception{Scope: request.Scope, Target: request.Target, Set: request.Set, Reason: request.Reason}

	return a.item(c, request.ItemChange, func(d *document.Document) ([]document.Edit, error) {
		if d.Exceptions[name].EqualContent(wanted) {
			return nil, nil
		}

		return edit(document.SectionException, name, wanted)
	})
}

func (a *API) exceptionDrop(c echo.Context) error {
	var request api.ItemChange
	if err := bind(c, &request); err != nil {
		return err
	}

	if err := requireReason(request); err != nil {
		return err
	}

	name := c.Param("name")

	return a.item(c, request, func(d *document.Document) ([]document.Edit, error) {
		if _, ok := d.Exceptions[name]; !ok {
			return nil, fault.New(fault.NotFound, "there is no exception %q", name)
		}

		return []document.Edit{{Section: document.SectionException, Name: name}}, nil
	})
}
