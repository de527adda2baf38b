package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// statuses maps the kinds of Engine errors to HTTP status codes.
var statuses = map[fault.Kind]int{
	fault.InvalidRequest:     http.StatusBadRequest,
	fault.NotFound:           http.StatusNotFound,
	fault.Conflict:           http.StatusConflict,
	fault.AdapterUnavailable: http.StatusBadGateway,
	fault.Overloaded:         http.StatusServiceUnavailable,
}

// Handler returns the HTTP handler.
func (m *Server) Handler() http.Handler {
	server := echo.New()
	server.Use(m.observe)
	server.GET("/info", m.serveInfo)
	server.GET("/report", m.serveReport)
	server.POST("/order", m.serveOrder)
	server.POST("/generate", m.serveGenerate)
	server.GET("/resume", m.serveResume)
	server.POST("/cancel", m.serveCancel)
	server.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, m.Record()) })
	server.GET("/switch", func(c echo.Context) error { return c.JSON(http.StatusOK, m.Faults()) })
	server.POST("/switch", m.serveSwitch)

	return server
}

func (m *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		m.mu.Lock()

		for name, values := range c.Request().Header {
			for _, value := range values {
				m.headers.Add(name, value)
			}
		}

		m.mu.Unlock()

		return next(c)
	}
}

func (m *Server) serveInfo(c echo.Context) error {
	info, err := m.Info(c.Request().Context())

	return reply(c, info, err)
}

func (m *Server) serveReport(c echo.Context) error {
	report, err := m.Report(c.Request().Context())

	return reply(c, report, err)
}

func (m *Server) serveOrder(c echo.Context) error {
	var order engine.Order

	if err := c.Bind(&order); err != nil {
		return problem(c, fault.Wrap(err, fault.InvalidRequest, "decode order"))
	}

	return reply(c, struct{}{}, m.Order(c.Request().Context(), order))
}

func (m *Server) serveCancel(c echo.Context) error {
	var request engine.CancelRequest

	if err := c.Bind(&request); err != nil {
		return problem(c, fault.Wrap(err, fault.InvalidRequest, "decode cancel"))
	}

	return reply(c, struct{}{}, m.Cancel(c.Request().Context(), request.ID))
}

func (m *Server) serveGenerate(c echo.Context) error {
	var request engine.Request

	if err := c.Bind(&request); err != nil {
		return problem(c, fault.Wrap(err, fault.InvalidRequest, "decode request"))
	}

	opened, err := m.Generate(c.Request().Context(), request)
	if err != nil {
		return problem(c, err)
	}

	return serveStream(c, opened)
}

func (m *Server) serveResume(c echo.Context) error {
	seq, err := strconv.ParseInt(c.QueryParam("seq"), 10, 64)
	if err != nil {
		return problem(c, fault.Wrap(err, fault.InvalidRequest, "decode seq"))
	}

	opened, err := m.Resume(c.Request().Context(), c.QueryParam("id"), seq)
	if err != nil {
		return problem(c, err)
	}

	return serveStream(c, opened)
}

func (m *Server) serveSwitch(c echo.Context) error {
	faults := m.Faults()

	if err := c.Bind(&faults); err != nil {
		return problem(c, fault.Wrap(err, fault.InvalidRequest, "decode switch"))
	}

	m.SetFaults(faults)

	return c.JSON(http.StatusOK, m.Faults())
}

// serveStream writes the events and ends the connection where the stream ends.
func serveStream(c echo.Context, opened engine.Stream) error {
	defer func() { _ = opened.Close() }()

	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()

	for {
		event, err := opened.Next()
		if err != nil {
			switches.Drop()
		}

		data, err := json.Marshal(event)
		if err != nil {
			return errors.Wrap(err, "encode event")
		}

		if _, err := response.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
			return errors.Wrap(err, "write event")
		}

		response.Flush()

		if event.End {
			return nil
		}
	}
}

func reply(c echo.Context, value any, err error) error {
	if err != nil {
		return problem(c, err)
	}

	return c.JSON(http.StatusOK, value)
}

func problem(c echo.Context, err error) error {
	if errors.Is(err, switches.ErrDropped) {
		switches.Drop()
	}

	found := fault.FromError(err)

	status, ok := statuses[found.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}

	return switches.Problem(c, status, found.Kind, found.Message)
}
