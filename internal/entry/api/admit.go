package api

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	// maxHeaders is the maximum number of header fields of a request.
	maxHeaders   = 64
	bearerPrefix = "Bearer "
)

// admit makes the checks that apply to every route: the number of header fields, and that the entry is not draining and has a
// configuration. It sets state.doc.
func (a *API) admit(state *requestState) error {
	count := 0
	for _, values := range state.echo.Request().Header {
		count += len(values)
	}

	if count > maxHeaders {
		return fault.New(fault.TooLarge, "the request has %d header fields, but the maximum is %d", count, maxHeaders)
	}

	if a.Board.Draining.Value() {
		return fault.New(fault.Draining, "this entry is shutting down")
	}

	state.doc = a.Board.Document.Value()
	if state.doc == nil {
		return fault.New(fault.NotReady, "the entry has no configuration yet")
	}

	return nil
}

// apiKeyFrom returns the caller's API key, which is the bearer token of the Authorization header, or "" if there is none. The
// key is also read on open routes, to prevent that it is forwarded to backend servers.
func apiKeyFrom(request *http.Request) string {
	header := request.Header.Get("Authorization")
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}

	return strings.TrimSpace(header[len(bearerPrefix):])
}

// authenticate looks up the client account of the caller's key and checks that the account may use the route. It sets the
// route, the key id and the account of the state.
func (a *API) authenticate(state *requestState, route string) error {
	state.route = route
	state.requiresKey = true

	if state.apiKey == "" {
		return fault.New(fault.KeyMissing, "the Authorization header must contain a key as bearer token")
	}

	if err := a.lookupKey(state); err != nil {
		return err
	}

	if _, err := a.confirmedConfig(); err != nil {
		return err
	}

	account, ok := state.doc.Accounts[state.account]
	if !ok {
		return fault.New(fault.Forbidden, "the client account is not configured")
	}

	if len(account.Routes) > 0 && !slices.Contains(account.Routes, route) {
		return fault.New(fault.Forbidden, "the client account may not use the route %s", route)
	}

	return nil
}

// lookupKey checks the caller's key against the current keys and revocations. It is repeated before each time that the request
// is sent to an agent.
func (a *API) lookupKey(state *requestState) error {
	id, account, found := a.Keys.Lookup(state.apiKey)

	switch found {
	case KeyValid:
		state.keyID, state.account = id, account
		return nil
	case KeyRevoked:
		return fault.New(fault.KeyRevoked, "the key was revoked")
	default:
		return fault.New(fault.KeyUnknown, "the key is unknown")
	}
}

// confirmedConfig returns the document version and the age of its last confirmation. It returns an error if there is no
// document, if it was not confirmed within board.MaxConfirmationAge, or if the confirmation is for a newer version.
func (a *API) confirmedConfig() (relay.Config, error) {
	doc, confirmation := a.Board.Document.Value(), a.Board.Confirmation.Value()

	age := time.Since(confirmation.AsOf)
	if doc == nil || confirmation.AsOf.IsZero() || age > board.MaxConfirmationAge || confirmation.Version > doc.Version {
		return relay.Config{}, fault.New(fault.StaleConfig, "the configuration could not be confirmed within %s", board.MaxConfirmationAge)
	}

	return relay.Config{Version: doc.Version, Age: max(age, 0)}, nil
}

// check returns the function that repeats the checks before each time that the request is sent to an agent. Open routes need no
// key and no confirmation.
func (a *API) check(state *requestState) func() (relay.Config, error) {
	return func() (relay.Config, error) {
		if !state.requiresKey {
			return a.unconfirmedConfig(), nil
		}

		if err := a.lookupKey(state); err != nil {
			return relay.Config{}, err
		}

		return a.confirmedConfig()
	}
}

// unconfirmedConfig returns the document version for open routes, whether or not it was confirmed recently. Without any
// confirmation, the age is the maximum duration.
func (a *API) unconfirmedConfig() relay.Config {
	config := relay.Config{Age: time.Since(a.Board.Confirmation.Value().AsOf)}

	if doc := a.Board.Document.Value(); doc != nil {
		config.Version = doc.Version
	}

	return config
}

// routeName returns the name of the document's route that has exactly this path and no service, or the built-in name. A route
// with a service is served by that plain service.
func routeName(doc *document.Document, path, builtin string) string {
	for name, route := range doc.Routes {
		if route.Path == path && route.Service == "" {
			return name
		}
	}

	return builtin
}
