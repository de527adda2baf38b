package api

import (
	"runtime/debug"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
)

// headerRequestID carries the id of the request in every response.
const headerRequestID = "X-Request-Id"

// stateKey is the key of the requestState in the echo context.
const stateKey = "chestnutbeam.call"

var (
	requestDuration   = metrics.GetOrRegisterTimer("request.duration", metrics.DefaultRegistry)
	timeToFirstOutput = metrics.GetOrRegisterTimer("request.first", metrics.DefaultRegistry)
	runningRequests   = metrics.GetOrRegisterCounter("request.running", metrics.DefaultRegistry)
)

// requestState is the state of one HTTP request.
type requestState struct {
	echo  echo.Context
	id    string
	start time.Time
	// doc is the document at admission; nil until then.
	doc *document.Document
	// apiKey is the caller's API key. It is used for lookups only and must not be logged or sent to agents.
	apiKey string
	// requiresKey is true if the route needs the key.
	requiresKey bool
	keyID       string
	account     string
	route       string
	result      relay.Result
	// kind is the kind of the error in the response; empty on success.
	kind fault.Kind
	// hasOutput is true once the first output was received.
	hasOutput bool
}

func newRequestState(c echo.Context) *requestState {
	state := &requestState{echo: c, id: ident.New("req"), start: time.Now(), apiKey: apiKeyFrom(c.Request())}
	c.Set(stateKey, state)
	c.Response().Header().Set(headerRequestID, state.id)

	return state
}

// observe assigns an id to every request, and logs and counts the request when it is finished.
func (a *API) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		state := newRequestState(c)

		runningRequests.Inc(1)
		defer runningRequests.Dec(1)

		err := recoverPanic(next, c)
		if err != nil {
			c.Error(err)
		}

		state.log(err)

		return nil
	}
}

// recoverPanic turns a panic into an error, so that the caller gets an error response.
func recoverPanic(next echo.HandlerFunc, c echo.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logrus.WithField("component", "api").Errorf("panic: %v\n%s", cause, debug.Stack())

			err = fault.New(fault.Internal, "internal error")
		}
	}()

	return next(c)
}

func (s *requestState) log(err error) {
	status := s.echo.Response().Status
	elapsed := time.Since(s.start)

	requestDuration.Update(elapsed)
	metrics.GetOrRegisterCounter("request.status."+strconv.Itoa(status), metrics.DefaultRegistry).Inc(1)

	if s.kind != "" {
		metrics.GetOrRegisterCounter("request.kind."+string(s.kind), metrics.DefaultRegistry).Inc(1)
	}

	entry := logrus.WithFields(logrus.Fields{
		"component": "api",
		"request":   s.id,
		"account":   s.account,
		"key":       s.keyID,
		"route":     s.route,
		"server":    s.result.Server,
		"kind":      string(s.kind),
		"status":    status,
		"tries":     s.result.Tries,
		"output":    s.result.OutputTokens,
		"ms":        elapsed.Milliseconds(),
	})

	if err != nil {
		entry = entry.WithError(err)
	}

	// Health probes and metrics scrapers send a request every few seconds.
	if s.doc == nil && err == nil {
		entry.Debug("request finished")
		return
	}

	entry.Info("request finished")
}
