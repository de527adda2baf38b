// Package table implements a test double of the platform's table service.
package table

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Server serves a table.Memory over HTTP. The zero value is an empty table.
type Server struct {
	// Memory holds the rows.
	Memory table.Memory
	// Switches are the fault switches.
	Switches switches.Switches
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	server := echo.New()
	server.GET("/row", s.Switches.Wrap(s.get))
	server.GET("/rows", s.Switches.Wrap(s.list))
	server.POST("/commit", s.Switches.Wrap(s.commit))
	s.Switches.Register(server)

	return server
}

func (s *Server) get(c echo.Context) error {
	row, err := s.Memory.Get(c.Request().Context(), c.QueryParam("key"))
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, row)
}

func (s *Server) list(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil {
		return switches.WriteError(c, http.StatusBadRequest, fault.InvalidRequest, "limit is not a number")
	}

	rows, err := s.Memory.List(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"), limit)
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, table.ListResponse{Rows: rows})
}

func (s *Server) commit(c echo.Context) error {
	var txn table.Txn

	if err := c.Bind(&txn); err != nil {
		return switches.WriteError(c, http.StatusBadRequest, fault.InvalidRequest, err.Error())
	}

	revision, err := s.Memory.Commit(c.Request().Context(), txn)
	if fault.Is(err, fault.Conflict) {
		return switches.WriteError(c, http.StatusConflict, fault.Conflict, fault.FromError(err).Message)
	}

	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, table.CommitResponse{Revision: revision})
}
