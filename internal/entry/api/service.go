package api

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	// headerIdempotency carries the idempotency key of a call that must not be repeated.
	headerIdempotency = "Idempotency-Key"
	// longestIdempotency bounds the idempotency key, which becomes part of a row key in the table.
	longestIdempotency = 128
)

// forwardedHeaders are the only header fields that plain services receive.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// returnedHeaders are the only header fields of plain services that callers receive.
var returnedHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// keyParameters are query parameters in which callers send keys by mistake; they are removed.
var keyParameters = []string{"key", "api_key"}

// service serves the plain-service routes of the document.
func (a *API) service(state *call) error {
	request := state.echo.Request()

	name, route, err := findRoute(state.doc, request)
	if err != nil {
		return err
	}

	state.route = name

	if !route.Open {
		if err := a.authenticate(state, name); err != nil {
			return err
		}
	}

	planned, err := a.planCall(state, name, route)
	if err != nil {
		return err
	}

	result, err := a.run(state, planned, func(ctx context.Context) (relay.Result, error) {
		return a.dispatch(ctx, state, planned)
	})
	if err != nil {
		return err
	}

	return state.respond(result.Done)
}

// findRoute returns the route with the longest matching path prefix.
func findRoute(doc *document.Document, request *http.Request) (string, document.Route, error) {
	path := request.URL.Path
	best := ""

	if slices.Contains(strings.Split(path, "/"), "..") {
		return "", document.Route{}, fault.New(fault.InvalidRequest, "the path must not hold \"..\"").WithParam("path")
	}

	for name, route := range doc.Routes {
		if route.Service == "" || !strings.HasPrefix(path, route.Path) {
			continue
		}

		if best == "" || len(route.Path) > len(doc.Routes[best].Path) {
			best = name
		}
	}

	route, ok := doc.Routes[best]
	if !ok || !slices.Contains(route.Methods, request.Method) {
		return "", document.Route{}, fault.New(fault.NotFound, "there is no such route for %s", request.Method)
	}

	return best, route, nil
}

// planCall builds the call with the headers and query parameters that may go on.
func (a *API) planCall(state *call, name string, route document.Route) (relay.Request, error) {
	request := state.echo.Request()
	defaults := a.Resolver.Resolve(state.doc, Target{Route: name, Account: state.account})

	body, err := state.body(defaults.Body)
	if err != nil {
		return relay.Request{}, err
	}

	deadline, err := state.deadline(defaults)
	if err != nil {
		return relay.Request{}, err
	}

	query, err := cleanQuery(state, request.URL.RawQuery)
	if err != nil {
		return relay.Request{}, err
	}

	if state.leaks(request.URL.Path, string(body)) {
		return relay.Request{}, leaked("body")
	}

	sent := &rpc.Call{
		Service:    route.Service,
		Method:     request.Method,
		Path:       request.URL.EscapedPath(),
		Query:      query,
		Body:       body,
		Idempotent: route.Idempotent,
	}

	if !route.Idempotent {
		sent.Attempt = ident.New("attempt")
	}

	for _, header := range forwardedHeaders {
		if value := request.Header.Get(header); value != "" && !state.leaks(value) {
			sent.Headers = append(sent.Headers, &rpc.Header{Name: header, Value: value})
		}
	}

	state.assertNoKey(sent)

	planned := relay.Request{
		ID:       state.id,
		Account:  state.account,
		Key:      state.key,
		Route:    name,
		Priority: defaults.Priority,
		Deadline: deadline,
		Check:    a.check(state),
		Work:     relay.Call{Call: sent},
	}

	if !route.Open {
		planned.Cost = route.Cost
	}

	return planned, nil
}

// assertNoKey checks that no part of a call holds the caller's key.
func (s *call) assertNoKey(sent *rpc.Call) {
	leaks := s.leaks(sent.Path, sent.Query, string(sent.Body))

	for _, header := range sent.Headers {
		leaks = leaks || s.leaks(header.Value)
	}

	invariant.Check(!leaks, "call.key", "request %s would carry the caller's key to a backend server", s.id)
}

// cleanQuery removes parameters that hold keys.
func cleanQuery(state *call, raw string) (string, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", fault.Wrap(err, fault.InvalidRequest, "the query is malformed").WithParam("query")
	}

	for name, items := range values {
		if slices.Contains(keyParameters, strings.ToLower(name)) {
			delete(values, name)
			continue
		}

		if state.leaks(name, strings.Join(items, "\n")) {
			return "", leaked("query")
		}
	}

	return values.Encode(), nil
}

// dispatch sends the call. One that must not be repeated and has an idempotency key is claimed first; it does not end
// when the caller goes away.
func (a *API) dispatch(ctx context.Context, state *call, planned relay.Request) (relay.Result, error) {
	work, ok := planned.Work.(relay.Call)
	if !ok || work.Idempotent {
		return a.Runner.Do(ctx, planned, relay.NoOutput{})
	}

	key := state.echo.Request().Header.Get(headerIdempotency)

	switch {
	case key == "":
		return a.Runner.Do(ctx, planned, relay.NoOutput{})
	case len(key) > longestIdempotency || strings.ContainsFunc(key, unprintable):
		return relay.Result{}, fault.New(fault.InvalidRequest, "%s must be 1 to %d printable characters", headerIdempotency, longestIdempotency).WithParam(headerIdempotency)
	case state.account == "":
		return relay.Result{}, fault.New(fault.InvalidRequest, "%s needs a route with a key", headerIdempotency).WithParam(headerIdempotency)
	default:
		return a.AtMostOnce.Do(ctx, key, planned)
	}
}

func unprintable(r rune) bool {
	return r <= ' ' || r > '~'
}

// respond sends the response of a plain service.
func (s *call) respond(done *rpc.Done) error {
	response := s.echo.Response()

	for _, header := range done.Headers {
		if slices.Contains(returnedHeaders, http.CanonicalHeaderKey(header.Name)) {
			response.Header().Add(header.Name, header.Value)
		}
	}

	s.limitWrite()
	response.WriteHeader(int(done.Status))

	if _, err := response.Write(done.Body); err != nil {
		return fault.Wrap(err, fault.Canceled, "the caller takes no more")
	}

	return nil
}
