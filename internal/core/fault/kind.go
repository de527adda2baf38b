package fault

import (
	"net/http"
	"time"
)

// Kind is one entry of the closed list of error kinds.
type Kind string

// The closed list of error kinds. The responses table defines the response for each.
const (
	InvalidRequest      Kind = "invalid_request"
	KeyMissing          Kind = "key_missing"
	KeyUnknown          Kind = "key_unknown"
	KeyRevoked          Kind = "key_revoked"
	Forbidden           Kind = "forbidden"
	NotFound            Kind = "not_found"
	UnknownAdapter      Kind = "unknown_adapter"
	UnknownVersion      Kind = "unknown_version"
	TooLarge            Kind = "too_large"
	HeadersTooLarge     Kind = "headers_too_large"
	RequestTimeout      Kind = "request_timeout"
	IdempotencyMismatch Kind = "idempotency_mismatch"
	InProgress          Kind = "in_progress"
	RateLimited         Kind = "rate_limited"
	LimitUnavailable    Kind = "limit_unavailable"
	Overloaded          Kind = "overloaded"
	Cold                Kind = "cold"
	NoServer            Kind = "no_server"
	Draining            Kind = "draining"
	StaleConfig         Kind = "stale_config"
	TicketExpired       Kind = "ticket_expired"
	BootChanged         Kind = "boot_changed"
	AttemptRefused      Kind = "attempt_refused"
	AdapterUnavailable  Kind = "adapter_unavailable"
	Quarantined         Kind = "quarantined"
	TableUnavailable    Kind = "table_unavailable"
	NotReady            Kind = "not_ready"
	DeadlineExceeded    Kind = "deadline_exceeded"
	Interrupted         Kind = "interrupted"
	BackendFailed       Kind = "backend_failed"
	OutcomeUnknown      Kind = "outcome_unknown"
	Conflict            Kind = "conflict"
	Canceled            Kind = "canceled"
	Internal            Kind = "internal"
)

// Ran states whether a backend server ran the request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Response is what a caller gets for an error of one kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Type is the OpenAI error type.
	Type string
	// Ran states whether the request was run.
	Ran Ran
	// RetryAfter is the default delay for errors that set none; if it is zero, no Retry-After header is sent.
	RetryAfter time.Duration
	// Description is the sentence that documents the kind.
	Description string
}

const (
	typeInvalid = "invalid_request_error"
	typeAuth    = "authentication_error"
	typeAccess  = "permission_error"
	typeRate    = "rate_limit_error"
	typeServer  = "server_error"
)

// statusClientClosed is the non-standard status 499 (Client Closed Request) for a request whose caller disconnected.
const statusClientClosed = 499

// responses has an entry for every kind.
var responses = map[Kind]Response{
	InvalidRequest:      {http.StatusBadRequest, typeInvalid, RanNo, 0, "A field of the request is missing or malformed; param names it."},
	KeyMissing:          {http.StatusUnauthorized, typeAuth, RanNo, 0, "The route needs a key and the request carries none."},
	KeyUnknown:          {http.StatusUnauthorized, typeAuth, RanNo, 0, "No client account has this key."},
	KeyRevoked:          {http.StatusUnauthorized, typeAuth, RanNo, 0, "The key was revoked by an operator."},
	Forbidden:           {http.StatusForbidden, typeAccess, RanNo, 0, "The client account may not use this route, or the operator token is wrong."},
	NotFound:            {http.StatusNotFound, typeInvalid, RanNo, 0, "There is no such route or item."},
	UnknownAdapter:      {http.StatusNotFound, typeInvalid, RanNo, 0, "No adapter has this name."},
	UnknownVersion:      {http.StatusNotFound, typeInvalid, RanNo, 0, "The adapter has no such version."},
	TooLarge:            {http.StatusRequestEntityTooLarge, typeInvalid, RanNo, 0, "The request exceeds a size limit, or its cost exceeds the account's burst."},
	HeadersTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, typeInvalid, RanNo, 0, "The headers of the request exceed the size limit."},
	RequestTimeout:      {http.StatusRequestTimeout, typeInvalid, RanNo, 0, "The request did not arrive whole in time."},
	IdempotencyMismatch: {http.StatusUnprocessableEntity, typeInvalid, RanNo, 0, "The idempotency key was used before with another request."},
	InProgress:          {http.StatusConflict, typeInvalid, RanUnknown, time.Second, "The first call with this idempotency key is still running."},
	RateLimited:         {http.StatusTooManyRequests, typeRate, RanNo, time.Second, "The client account has used its rate and burst."},
	LimitUnavailable:    {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "No holder of the client account's token share can be reached."},
	Overloaded:          {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "No backend server can start the request before its deadline."},
	Cold:                {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "The backend server is in a cold start and takes no more requests for now."},
	NoServer:            {http.StatusServiceUnavailable, typeServer, RanNo, 2 * time.Second, "No backend server for this model or service is in service."},
	Draining:            {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "The process is shutting down or its failure domain is out of service."},
	StaleConfig:         {http.StatusServiceUnavailable, typeServer, RanNo, 2 * time.Second, "The process cannot confirm that its configuration is current."},
	TicketExpired:       {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "The entry's permission to start work at the agent has lapsed."},
	BootChanged:         {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "The request was meant for an earlier process of this agent."},
	AttemptRefused:      {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "The attempt was refused before it was seen, so that another can be made."},
	AdapterUnavailable:  {http.StatusServiceUnavailable, typeServer, RanNo, 2 * time.Second, "The adapter could not be loaded."},
	Quarantined:         {http.StatusServiceUnavailable, typeServer, RanNo, time.Minute, "This request, others that share a prompt part with it, or the load of its adapter have ended backend servers."},
	TableUnavailable:    {http.StatusServiceUnavailable, typeServer, RanNo, 2 * time.Second, "The platform's table service does not answer."},
	NotReady:            {http.StatusServiceUnavailable, typeServer, RanNo, time.Second, "The process has not yet got what it needs to serve."},
	DeadlineExceeded:    {http.StatusGatewayTimeout, typeServer, RanUnknown, 0, "The deadline passed after the request had been sent to a backend server."},
	Interrupted:         {http.StatusBadGateway, typeServer, RanYes, 0, "The answer ended before its end marker and could not be resumed."},
	BackendFailed:       {http.StatusBadGateway, typeServer, RanYes, 0, "The backend server failed the request."},
	OutcomeUnknown:      {http.StatusBadGateway, typeServer, RanUnknown, 0, "The request was sent and its outcome is not known; it will not be run again by the system."},
	Conflict:            {http.StatusConflict, typeInvalid, RanNo, 0, "Another change was committed first."},
	Canceled:            {statusClientClosed, typeInvalid, RanUnknown, 0, "The caller closed the connection."},
	Internal:            {http.StatusInternalServerError, typeServer, RanUnknown, 0, "An unexpected error in the process."},
}

// Response returns the response for the kind. Kinds that are not on the list get the one for Internal.
func (k Kind) Response() Response {
	if response, ok := responses[k]; ok {
		return response
	}

	return responses[Internal]
}

// Known reports whether the kind is on the closed list.
func (k Kind) Known() bool {
	_, ok := responses[k]
	return ok
}

// Kinds returns every kind of the closed list, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for kind := range responses {
		kinds = append(kinds, kind)
	}

	return kinds
}
