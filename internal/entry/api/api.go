// Package api serves the HTTP API for callers: completions, the list of models, and plain-service routes.
package api

import (
	"context"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// KeyState is the state of a caller's key.
type KeyState int

// The values of KeyState.
const (
	KeyUnknown KeyState = iota
	KeyValid
	KeyRevoked
)

// Keys looks up callers' keys. The id may be logged and sent to agents, the key must not.
type Keys interface {
	Lookup(key string) (id, account string, state KeyState)
}

// Charge is a debit of tokens, whose unused part can be refunded once.
type Charge any

// Limits debits tokens of client accounts. A refused debit is an error of kind RateLimited or LimitUnavailable.
type Limits interface {
	Debit(ctx context.Context, account string, amount int64) (Charge, error)
	Refund(charge Charge, unused int64)
}

// Target is the request for which the defaults are resolved; fields may be empty.
type Target struct {
	Route   string
	Account string
	Adapter string
}

// Resolver applies the exceptions of the document to its defaults.
type Resolver interface {
	Resolve(doc *document.Document, target Target) document.Default
}

// Runner sends a request to backend servers.
type Runner interface {
	Do(ctx context.Context, request relay.Request, sink relay.Sink) (relay.Result, error)
}

// AtMostOnce runs non-idempotent calls at most once for each account and idempotency key.
type AtMostOnce interface {
	Do(ctx context.Context, key string, request relay.Request) (relay.Result, error)
}

// API holds the handlers. Its fields are set before Register.
type API struct {
	Board      *board.Board
	Keys       Keys
	Limits     Limits
	Resolver   Resolver
	Runner     Runner
	AtMostOnce AtMostOnce
}

// The names of the built-in routes, which accounts and exceptions refer to. A route of the document with the same path
// overrides the name.
const (
	routeChat       = "chat"
	routeCompletion = "completion"
	routeModels     = "models"
)

// Register adds the routes and the middleware.
func (a *API) Register(server *echo.Echo) {
	server.HTTPErrorHandler = handleError
	server.Use(a.observe)
	server.POST("/v1/chat/completions", a.handle(a.chat))
	server.POST("/v1/completions", a.handle(a.completion))
	server.GET("/v1/models", a.handle(a.models))
	server.Any("/*", a.handle(a.service))
}

// handle wraps a handler: it passes the state of the request and runs the checks of admit first.
func (a *API) handle(next func(*requestState) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		state, ok := c.Get(stateKey).(*requestState)
		if !ok {
			state = newRequestState(c)
		}

		if err := a.admit(state); err != nil {
			return err
		}

		return next(state)
	}
}
