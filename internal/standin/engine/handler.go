package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// statusCodes maps the kinds of errors of an api.Engine to HTTP status codes; other kinds map to 500.
var statusCodes = map[fault.Kind]int{
	fault.InvalidRequest:     http.StatusBadRequest,
	fault.NotFound:           http.StatusNotFound,
	fault.Conflict:           http.StatusConflict,
	fault.AdapterUnavailable: http.StatusBadGateway,
	fault.Overloaded:         http.StatusServiceUnavailable,
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	server := echo.New()
	server.Use(s.recordHeaders)
	server.GET("/info", s.serveInfo)
	server.GET("/report", s.serveReport)
	server.POST("/order", s.serveOrder)
	server.POST("/generate", s.serveGenerate)
	server.GET("/resume", s.serveResume)
	server.POST("/cancel", s.serveCancel)
	server.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) })
	server.GET("/switch", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	server.POST("/switch", s.serveSwitch)

	return server
}

// recordHeaders is middleware that records the headers of every request.
func (s *Server) recordHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()

		for name, values := range c.Request().Header {
			for _, value := range values {
				s.headers.Add(name, value)
			}
		}

		s.mu.Unlock()

		return next(c)
	}
}

func (s *Server) serveInfo(c echo.Context) error {
	info, err := s.Info(c.Request().Context())

	return respond(c, info, err)
}

func (s *Server) serveReport(c echo.Context) error {
	report, err := s.Report(c.Request().Context())

	return respond(c, report, err)
}

func (s *Server) serveOrder(c echo.Context) error {
	var order api.Order

	if err := c.Bind(&order); err != nil {
		return respondError(c, fault.Wrap(err, fault.InvalidRequest, "decode order"))
	}

	return respond(c, struct{}{}, s.Order(c.Request().Context(), order))
}

func (s *Server) serveCancel(c echo.Context) error {
	var request api.CancelRequest

	if err := c.Bind(&request); err != nil {
		return respondError(c, fault.Wrap(err, fault.InvalidRequest, "decode cancel"))
	}

	return respond(c, struct{}{}, s.Cancel(c.Request().Context(), request.ID))
}

func (s *Server) serveGenerate(c echo.Context) error {
	var request api.Request

	if err := c.Bind(&request); err != nil {
		return respondError(c, fault.Wrap(err, fault.InvalidRequest, "decode request"))
	}

	opened, err := s.Generate(c.Request().Context(), request)
	if err != nil {
		return respondError(c, err)
	}

	return serveStream(c, opened)
}

func (s *Server) serveResume(c echo.Context) error {
	seq, err := strconv.ParseInt(c.QueryParam("seq"), 10, 64)
	if err != nil {
		return respondError(c, fault.Wrap(err, fault.InvalidRequest, "decode seq"))
	}

	opened, err := s.Resume(c.Request().Context(), c.QueryParam("id"), seq)
	if err != nil {
		return respondError(c, err)
	}

	return serveStream(c, opened)
}

func (s *Server) serveSwitch(c echo.Context) error {
	faults := s.Faults()

	if err := c.Bind(&faults); err != nil {
		return respondError(c, fault.Wrap(err, fault.InvalidRequest, "decode switch"))
	}

	s.SetFaults(faults)

	return c.JSON(http.StatusOK, s.Faults())
}

// serveStream writes the events of a stream. If the stream ends without an end marker, it closes the connection.
func serveStream(c echo.Context, opened api.Stream) error {
	defer func() { _ = opened.Close() }()

	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	response.WriteHeader(http.StatusOK)
	response.Flush()

	for {
		event, err := opened.Next()
		if err != nil {
			switches.DropConnection()
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

func respond(c echo.Context, value any, err error) error {
	if err != nil {
		return respondError(c, err)
	}

	return c.JSON(http.StatusOK, value)
}

func respondError(c echo.Context, err error) error {
	if errors.Is(err, switches.ErrDropped) {
		switches.DropConnection()
	}

	found := fault.FromError(err)

	status, ok := statusCodes[found.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}

	return switches.WriteError(c, status, found.Kind, found.Message)
}
