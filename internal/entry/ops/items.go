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
	return a.setOut(c, true, func(d *document.Document, name, reason string, out bool) ([]document.Edit, error) {
		if !a.listed(func(vm vms.VM) bool { return vm.Domain == name }) {
			return nil, fault.New(fault.NotFound, "no listed VM is in failure domain %q", name)
		}

		old := d.Domains[name]
		if old.Out == out && old.Reason == reason {
			return nil, nil
		}

		return setItem(document.SectionDomain, name, document.Domain{Out: out, Reason: reason})
	})
}

func (a *API) domainIn(c echo.Context) error {
	return a.setOut(c, false, func(d *document.Document, name, _ string, _ bool) ([]document.Edit, error) {
		if !d.Domains[name].Out {
			return nil, nil
		}

		return setItem(document.SectionDomain, name, document.Domain{})
	})
}

func (a *API) vmOut(c echo.Context) error {
	return a.setOut(c, true, func(d *document.Document, name, reason string, out bool) ([]document.Edit, error) {
		if !a.listed(func(vm vms.VM) bool { return vm.Name == name }) {
			return nil, fault.New(fault.NotFound, "VM %q is not listed", name)
		}

		old := d.VMs[name]
		if old.Out == out && old.Reason == reason {
			return nil, nil
		}

		return setItem(document.SectionVM, name, document.VM{Out: out, Reason: reason})
	})
}

// vmIn deletes the item, because VMs are replaced all the time and their names are not reused.
func (a *API) vmIn(c echo.Context) error {
	return a.setOut(c, false, func(d *document.Document, name, _ string, _ bool) ([]document.Edit, error) {
		if !d.VMs[name].Out {
			return nil, nil
		}

		return []document.Edit{{Section: document.SectionVM, Name: name}}, nil
	})
}

// listed reports whether a listed VM matches, to reject misspelled names. Without a VM list every name is accepted.
func (a *API) listed(match func(vm vms.VM) bool) bool {
	list := a.Board.VMs.Value().VMs

	return len(list) == 0 || slices.ContainsFunc(list, match)
}

// setOut takes a failure domain or VM out of service, or back in, by the edits that the function returns.
func (a *API) setOut(c echo.Context, out bool, edits func(d *document.Document, name, reason string, out bool) ([]document.Edit, error)) error {
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

	return a.changeItem(c, request, func(d *document.Document) ([]document.Edit, error) {
		return edits(d, name, request.Reason, out)
	})
}

func (a *API) exceptionAdd(c echo.Context) error {
	var request api.Exception
	if err := bind(c, &request); err != nil {
		return err
	}

	name := c.Param("name")
	exception := document.Exception{Scope: request.Scope, Target: request.Target, Set: request.Set, Reason: request.Reason}

	return a.changeItem(c, request.ItemChange, func(d *document.Document) ([]document.Edit, error) {
		if d.Exceptions[name].EqualContent(exception) {
			return nil, nil
		}

		return setItem(document.SectionException, name, exception)
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

	return a.changeItem(c, request, func(d *document.Document) ([]document.Edit, error) {
		if _, ok := d.Exceptions[name]; !ok {
			return nil, fault.New(fault.NotFound, "there is no exception %q", name)
		}

		return []document.Edit{{Section: document.SectionException, Name: name}}, nil
	})
}
