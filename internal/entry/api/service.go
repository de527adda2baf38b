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
	// headerIdempotencyKey carries the idempotency key of a non-idempotent call.
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyLen is the maximum length of the idempotency key, which becomes part of a row key in the table.
	maxIdempotencyKeyLen = 128
)

// forwardedHeaders are the only header fields of requests that are forwarded to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// returnedHeaders are the only header fields of plain services' responses that are returned to callers.
var returnedHeaders = []string{
	"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location", "Retry-After",
}

// keyParameters are query parameters in which callers may send keys by mistake; they are removed.
var keyParameters = []string{"key", "api_key"}

// service serves the plain-service routes of the document.
func (a *API) service(state *requestState) error {
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

	return state.sendResponse(result.Done)
}

// findRoute returns the route with the longest matching path prefix.
func findRoute(doc *document.Document, request *http.Request) (string, document.Route, error) {
	path := request.URL.Path
	best := ""

	if slices.Contains(strings.Split(path, "/"), "..") {
		return "", document.Route{}, fault.New(fault.InvalidRequest, "the path must not contain \"..\"").WithParam("path")
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

// planCall builds the call with the headers and query parameters that may be forwarded.
func (a *API) planCall(state *requestState, name string, route document.Route) (relay.Request, error) {
	request := state.echo.Request()
	defaults := a.Resolver.Resolve(state.doc, Target{Route: name, Account: state.account})

	body, err := state.readBody(defaults.Body)
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

	if state.containsKey(request.URL.Path, string(body)) {
		return relay.Request{}, keyLeakError("body")
	}

	message := &rpc.Call{
		Service:    route.Service,
		Method:     request.Method,
		Path:       request.URL.EscapedPath(),
		Query:      query,
		Body:       body,
		Idempotent: route.Idempotent,
	}

	if !route.Idempotent {
		message.Attempt = ident.New("attempt")
	}

	for _, header := range forwardedHeaders {
		if value := request.Header.Get(header); value != "" && !state.containsKey(value) {
			message.Headers = append(message.Headers, &rpc.Header{Name: header, Value: value})
		}
	}

	state.assertNoKey(message)

	planned := relay.Request{
		ID:       state.id,
		Account:  state.account,
		Key:      state.keyID,
		Route:    name,
		Priority: defaults.Priority,
		Deadline: deadline,
		Check:    a.check(state),
		Work:     relay.Call{Call: message},
	}

	if !route.Open {
		planned.Cost = route.Cost
	}

	return planned, nil
}

// assertNoKey checks that no part of a call contains the caller's key.
func (s *requestState) assertNoKey(message *rpc.Call) {
	found := s.containsKey(message.Path, message.Query, string(message.Body))

	for _, header := range message.Headers {
		found = found || s.containsKey(header.Value)
	}

	invariant.Check(!found, "call.key", "request %s would carry the caller's key to a backend server", s.id)
}

// cleanQuery removes keyParameters and returns an error if another parameter contains the caller's key.
func cleanQuery(state *requestState, raw string) (string, error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", fault.Wrap(err, fault.InvalidRequest, "the query is malformed").WithParam("query")
	}

	for name, items := range values {
		if slices.Contains(keyParameters, strings.ToLower(name)) {
			delete(values, name)
			continue
		}

		if state.containsKey(name, strings.Join(items, "\n")) {
			return "", keyLeakError("query")
		}
	}

	return values.Encode(), nil
}

// dispatch sends the call. A non-idempotent call with an idempotency key is claimed first and continues when the caller
// disconnects.
func (a *API) dispatch(ctx context.Context, state *requestState, planned relay.Request) (relay.Result, error) {
	work, ok := planned.Work.(relay.Call)
	if !ok || work.Idempotent {
		return a.Runner.Do(ctx, planned, relay.NoOutput{})
	}

	key := state.echo.Request().Header.Get(headerIdempotencyKey)

	switch {
	case key == "":
		return a.Runner.Do(ctx, planned, relay.NoOutput{})
	case len(key) > maxIdempotencyKeyLen || strings.ContainsFunc(key, unprintable):
		return relay.Result{}, fault.New(fault.InvalidRequest, "%s must be 1 to %d printable characters", headerIdempotencyKey, maxIdempotencyKeyLen).WithParam(headerIdempotencyKey)
	case state.account == "":
		return relay.Result{}, fault.New(fault.InvalidRequest, "%s is only supported on routes that require a key", headerIdempotencyKey).WithParam(headerIdempotencyKey)
	default:
		return a.AtMostOnce.Do(ctx, key, planned)
	}
}

func unprintable(r rune) bool {
	return r <= ' ' || r > '~'
}

// sendResponse sends the response of a plain service.
func (s *requestState) sendResponse(done *rpc.Done) error {
	response := s.echo.Response()

	for _, header := range done.Headers {
		if slices.Contains(returnedHeaders, http.CanonicalHeaderKey(header.Name)) {
			response.Header().Add(header.Name, header.Value)
		}
	}

	s.setWriteDeadline()
	response.WriteHeader(int(done.Status))

	if _, err := response.Write(done.Body); err != nil {
		return fault.Wrap(err, fault.Canceled, "the response could not be written to the caller")
	}

	return nil
}
