// Package ops serves the operator API of an entry.
package ops

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// API serves the operator API.
type API struct {
	Board    *board.Board
	Store    *store.Store
	Follower *follow.Follower
	// Operators may call the API.
	Operators []settings.Operator
	// Name is the VM name of this entry.
	Name string
}

// Register adds the routes to a server.
func (a *API) Register(server *echo.Echo) {
	group := server.Group(api.Prefix, a.errors, a.authenticate)

	group.GET("/document", a.show)
	group.POST("/diff", a.diff)
	group.POST("/change", a.change)
	group.POST("/keys", a.grant)
	group.POST("/keys/:name/revoke", a.revoke)
	group.POST("/domains/:name/out", a.domainOut)
	group.POST("/domains/:name/in", a.domainIn)
	group.POST("/vms/:name/out", a.vmOut)
	group.POST("/vms/:name/in", a.vmIn)
	group.PUT("/exceptions/:name", a.exceptionAdd)
	group.POST("/exceptions/:name/drop", a.exceptionDrop)
	group.GET("/status", a.status)
	group.GET("/explain", a.explain)
	group.GET("/audit", a.audit)
	group.GET("/versions/:version", a.inForce)
}

// document returns the newest known document.
func (a *API) document() (*document.Document, error) {
	d := a.Board.Document.Value()
	if d == nil {
		return nil, fault.New(fault.NotReady, "the entry has no configuration yet")
	}

	return d, nil
}

func (a *API) show(c echo.Context) error {
	d, err := a.document()
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, d)
}

func (a *API) diff(c echo.Context) error {
	var file api.File
	if err := bind(c, &file); err != nil {
		return err
	}

	// An outdated document would only cause a conflict later, so a table that does not answer is no obstacle here.
	_ = a.Follower.CatchUpHead(c.Request().Context())

	d, err := a.document()
	if err != nil {
		return err
	}

	fleet, err := document.ParseFleet([]byte(file.Text))
	if err != nil {
		return err
	}

	edits, err := fleet.Edits(d)
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, api.Diff{Version: d.Version, Edits: edits})
}
