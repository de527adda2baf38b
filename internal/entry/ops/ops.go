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

// API holds the handlers of the operator API. Its fields are set before Register.
type API struct {
	Board    *board.Board
	Store    *store.Store
	Follower *follow.Follower
	// Operators are the operators that may use the API.
	Operators []settings.Operator
	// Name is the name of this entry's VM.
	Name string
}

// Register adds the routes and their middleware.
func (a *API) Register(server *echo.Echo) {
	group := server.Group(api.Prefix, a.handleErrors, a.authenticate)

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

// document returns the newest known document, or an error if there is none.
func (a *API) document() (*document.Document, error) {
	d := a.Board.Document.Value()
	if d == nil {
		return nil, fault.New(fault.NotReady, "the entry has no configuration yet")
	}

	return d, nil
}

// catchUp reads the newest document if the table is available. Otherwise an outdated one is used, which can only cause a
// conflict later.
func (a *API) catchUp(c echo.Context) {
	_ = a.Follower.CatchUpHead(c.Request().Context())
}

func (a *API) show(c echo.Context) error {
	a.catchUp(c)

	d, err := a.document()
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, d)
}

// diff accepts fleet files up to the maximum size of a request body; ctl compares larger ones itself.
func (a *API) diff(c echo.Context) error {
	var file api.File
	if err := bind(c, &file); err != nil {
		return err
	}

	a.catchUp(c)

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
