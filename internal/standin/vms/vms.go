// Package vms implements a test double of the platform's VM list.
package vms

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Server keeps the VM list and makes each change visible after a lag. The zero value is an empty list without lag.
type Server struct {
	// Lag is the time until a change is visible.
	Lag time.Duration
	// Switches are the fault switches.
	Switches switches.Switches

	mu      sync.Mutex
	current map[string]vms.VM
	// pending holds the changed lists that are not yet visible, oldest first.
	pending []pendingChange
	visible vms.List
	// sequence counts the changes.
	sequence int64
	// instance distinguishes the entity tags of this server from those of another one.
	instance string
	once     sync.Once
}

// pendingChange is a list and the time at which it becomes visible.
type pendingChange struct {
	due  time.Time
	list vms.List
}

// Put adds or replaces a VM.
func (s *Server) Put(vm vms.VM) {
	s.update(func(current map[string]vms.VM) { current[vm.Name] = vm })
}

// Remove removes a VM.
func (s *Server) Remove(name string) {
	s.update(func(current map[string]vms.VM) { delete(current, name) })
}

// List implements vms.Lister.
func (s *Server) List(ctx context.Context) (vms.List, error) {
	var list vms.List

	err := s.Switches.Do(ctx, false, func() error {
		list = s.visibleList()
		return nil
	})
	if err != nil {
		return vms.List{}, fault.Wrap(err, fault.BackendFailed, "VM list")
	}

	return list, nil
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	server := echo.New()
	server.GET("/vms", s.Switches.Wrap(s.get))
	server.PUT("/vms/:name", s.put)
	server.DELETE("/vms/:name", s.remove)
	s.Switches.Register(server)

	return server
}

// get responds with 304 to a conditional request for an unchanged list, and compresses the list for clients that accept gzip.
func (s *Server) get(c echo.Context) error {
	list := s.visibleList()
	tag := s.entityTag(list.Sequence)
	header := c.Response().Header()
	header.Set("ETag", tag)

	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}

	if !strings.Contains(c.Request().Header.Get(echo.HeaderAcceptEncoding), "gzip") {
		return c.JSON(http.StatusOK, list)
	}

	header.Set(echo.HeaderContentEncoding, "gzip")
	header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)

	writer := gzip.NewWriter(c.Response())
	if err := json.NewEncoder(writer).Encode(list); err != nil {
		return err
	}

	return writer.Close()
}

// entityTag returns the entity tag of the list. It differs between servers, because each one counts its changes from zero.
func (s *Server) entityTag(sequence int64) string {
	s.once.Do(func() { s.instance = ident.New("list") })

	return strconv.Quote(s.instance + "-" + strconv.FormatInt(sequence, 10))
}

func (s *Server) put(c echo.Context) error {
	var vm vms.VM

	if err := c.Bind(&vm); err != nil {
		return switches.WriteError(c, http.StatusBadRequest, fault.InvalidRequest, err.Error())
	}

	vm.Name = c.Param("name")
	s.Put(vm)

	return c.NoContent(http.StatusOK)
}

func (s *Server) remove(c echo.Context) error {
	s.Remove(c.Param("name"))

	return c.NoContent(http.StatusOK)
}

func (s *Server) update(apply func(current map[string]vms.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.current == nil {
		s.current = map[string]vms.VM{}
	}

	apply(s.current)
	s.sequence++

	list := vms.List{Sequence: s.sequence}

	for _, name := range slices.Sorted(maps.Keys(s.current)) {
		list.VMs = append(list.VMs, s.current[name])
	}

	s.pending = append(s.pending, pendingChange{due: time.Now().Add(s.Lag), list: list})
}

func (s *Server) visibleList() vms.List {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()

	for len(s.pending) > 0 && !s.pending[0].due.After(now) {
		s.visible = s.pending[0].list
		s.pending = s.pending[1:]
	}

	return s.visible
}
