// Package object implements a test double of the platform's object store.
package object

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Server keeps objects in memory and serves them over HTTP. The zero value is an empty store.
type Server struct {
	// Switches are the fault switches.
	Switches switches.Switches

	mu      sync.Mutex
	objects map[string][]byte
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	server := echo.New()
	server.GET("/object", s.Switches.Wrap(s.get))
	server.PUT("/object", s.Switches.Wrap(s.put))
	server.GET("/objects", s.Switches.Wrap(s.list))
	s.Switches.Register(server)

	return server
}

func (s *Server) get(c echo.Context) error {
	key := c.QueryParam("key")

	s.mu.Lock()
	value, ok := s.objects[key]
	s.mu.Unlock()

	if !ok {
		return switches.WriteError(c, http.StatusNotFound, fault.NotFound, "no object "+key)
	}

	return c.Blob(http.StatusOK, echo.MIMEOctetStream, value)
}

func (s *Server) put(c echo.Context) error {
	value, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return errors.Wrap(err, "read object")
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.objects == nil {
		s.objects = map[string][]byte{}
	}

	s.objects[c.QueryParam("key")] = value

	return c.NoContent(http.StatusOK)
}

func (s *Server) list(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	keys := []string{}

	for key := range s.objects {
		if strings.HasPrefix(key, c.QueryParam("prefix")) {
			keys = append(keys, key)
		}
	}

	slices.Sort(keys)

	return c.JSON(http.StatusOK, object.ListResponse{Keys: keys})
}
