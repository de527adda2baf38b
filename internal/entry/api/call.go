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

// headerRequest carries the id of the request in every response.
const headerRequest = "X-Request-Id"

// stateKey is the name under which the call is kept in the echo context.
const stateKey = "chestnutbeam.call"

var (
	finished = metrics.GetOrRegisterTimer("request.duration", metrics.DefaultRegistry)
	first    = metrics.GetOrRegisterTimer("request.first", metrics.DefaultRegistry)
	running  = metrics.GetOrRegisterCounter("request.running", metrics.DefaultRegistry)
)

// call is the state of one HTTP request.
type call struct {
	echo  echo.Context
	id    string
	begin time.Time
	// doc is the document at admission; nil until then.
	doc *document.Document
	// secret is the caller's key. It is used for lookups only and goes into no log and no message.
	secret string
	// keyed says that the route needs the key.
	keyed   bool
	key     string
	account string
	route   string
	result  relay.Result
	// kind is the kind of the error that the caller got; empty on success.
	kind fault.Kind
	// output says that the first output has arrived.
	output bool
}

func newCall(c echo.Context) *call {
	state := &call{echo: c, id: ident.New("req"), begin: time.Now(), secret: secretOf(c.Request())}
	c.Set(stateKey, state)
	c.Response().Header().Set(headerRequest, state.id)

	return state
}

// observe gives every request an id, and logs and counts it when it is finished.
func (a *API) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		state := newCall(c)

		running.Inc(1)
		defer running.Dec(1)

		err := guard(next, c)
		if err != nil {
			c.Error(err)
		}

		state.log(err)

		return nil
	}
}

// guard turns a panic into an error, so that the caller gets an answer.
func guard(next echo.HandlerFunc, c echo.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logrus.WithField("component", "api").Errorf("panic: %v\n%s", cause, debug.Stack())

			err = fault.New(fault.Internal, "internal error")
		}
	}()

	return next(c)
}

func (s *call) log(err error) {
	status := s.echo.Response().Status
	elapsed := time.Since(s.begin)

	finished.Update(elapsed)
	metrics.GetOrRegisterCounter("request.status."+strconv.Itoa(status), metrics.DefaultRegistry).Inc(1)

	if s.kind != "" {
		metrics.GetOrRegisterCounter("request.kind."+string(s.kind), metrics.DefaultRegistry).Inc(1)
	}

	entry := logrus.WithFields(logrus.Fields{
		"component": "api",
		"request":   s.id,
		"account":   s.account,
		"key":       s.key,
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

	// Probes and scrapers ask every few seconds.
	if s.doc == nil && err == nil {
		entry.Debug("request finished")
		return
	}

	entry.Info("request finished")
}
