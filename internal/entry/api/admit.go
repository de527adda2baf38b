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
	// mostHeaders bounds the number of header fields of a request.
	mostHeaders = 64
	bearer      = "Bearer "
)

// admit checks what holds for every route.
func (a *API) admit(state *call) error {
	count := 0
	for _, values := range state.echo.Request().Header {
		count += len(values)
	}

	if count > mostHeaders {
		return fault.New(fault.TooLarge, "the request has %d header fields and may have %d", count, mostHeaders)
	}

	if a.Board.Draining.Value() {
		return fault.New(fault.Draining, "this entry is shutting down")
	}

	state.doc = a.Board.Document.Value()
	if state.doc == nil {
		return fault.New(fault.NotReady, "the configuration is not known yet")
	}

	return nil
}

// secretOf returns the caller's key, or nothing if there is none. Open routes need it as well, to keep it from backend
// servers.
func secretOf(request *http.Request) string {
	header := request.Header.Get("Authorization")
	if len(header) <= len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return ""
	}

	return strings.TrimSpace(header[len(bearer):])
}

// authenticate finds the client account of the caller's key and checks that it may use the route.
func (a *API) authenticate(state *call, route string) error {
	state.route = route
	state.keyed = true

	if state.secret == "" {
		return fault.New(fault.KeyMissing, "the request needs a header Authorization: Bearer with a key")
	}

	if err := a.lookup(state); err != nil {
		return err
	}

	if _, err := a.config(); err != nil {
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

// lookup checks the key against the current state; it is repeated before each sending to an agent.
func (a *API) lookup(state *call) error {
	id, account, found := a.Keys.Lookup(state.secret)

	switch found {
	case KeyValid:
		state.key, state.account = id, account
		return nil
	case KeyRevoked:
		return fault.New(fault.KeyRevoked, "the key was revoked")
	default:
		return fault.New(fault.KeyUnknown, "the key is unknown")
	}
}

// config returns the document version, or an error if it was not confirmed lately.
func (a *API) config() (relay.Config, error) {
	doc, fresh := a.Board.Document.Value(), a.Board.Confirmation.Value()

	age := time.Since(fresh.AsOf)
	if doc == nil || fresh.AsOf.IsZero() || age > board.MaxConfirmationAge || fresh.Version > doc.Version {
		return relay.Config{}, fault.New(fault.StaleConfig, "the configuration could not be confirmed within %s", board.MaxConfirmationAge)
	}

	return relay.Config{Version: doc.Version, Age: max(age, 0)}, nil
}

// check returns the checks that are repeated before each sending. Open routes need no key and no confirmation.
func (a *API) check(state *call) func() (relay.Config, error) {
	return func() (relay.Config, error) {
		if !state.keyed {
			return a.open(), nil
		}

		if err := a.lookup(state); err != nil {
			return relay.Config{}, err
		}

		return a.config()
	}
}

func (a *API) open() relay.Config {
	config := relay.Config{Age: time.Since(a.Board.Confirmation.Value().AsOf)}

	if doc := a.Board.Document.Value(); doc != nil {
		config.Version = doc.Version
	}

	return config
}

// routeName returns the name of the document's route with exactly this path, or the built-in name.
func routeName(doc *document.Document, path, builtin string) string {
	for name, route := range doc.Routes {
		if route.Path == path && route.Service == "" {
			return name
		}
	}

	return builtin
}
