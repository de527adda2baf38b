// Package catalog holds the operator's configuration in the form that entries use: routes, services, client accounts and
// limits.
package catalog

import (
	"strings"
	"time"
)

// RetryPolicy determines whether the requests of a route may run again after a failure.
type RetryPolicy int

// The values of RetryPolicy.
const (
	// AtMostOnce allows a single run.
	AtMostOnce RetryPolicy = iota
	// Idempotent allows further runs from the start, as long as the client has received no part of the response.
	Idempotent
	// Resumable allows further runs, each of which continues after the last event that the client has received.
	Resumable
)

// Config is one version of the configuration. It is immutable once it is in use.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	Accounts map[string]Account
	// keys maps an API key to the name of its client account.
	keys map[string]string
	// hosts maps a host name to its routes, longest prefix first.
	hosts map[string][]Route
}

// Route assigns the requests for a host whose path has a prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix      string
	RetryPolicy RetryPolicy
	// Stream is true if responses are streams of server-sent events.
	Stream bool
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// Objective is the latency target for a response, or for the first event of a stream.
	Objective time.Duration
	// GapTarget is the longest time between two events of a stream that meets its latency target.
	GapTarget time.Duration
	// Urgency is the priority of the requests of the route; 0 is the most urgent.
	Urgency int
	// Targets has at least one element; weights are positive.
	Targets []Target
	// MaxAttempts is the number of servers at which a request may run, at least 1.
	MaxAttempts int
	// Public is true if requests need no API key.
	Public bool
}

// Target is one of the services of a route, with its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a server accepts while it is cold; 0 means no limit.
	ColdRate float64
	// Engine describes the model servers of the service. It is nil for a plain service, whose servers run no models.
	Engine *Engine
	// Scale bounds the number of servers in each failure domain that the system orders; nil if it orders none.
	Scale *Scale
}

// Scale bounds the number of servers of a service in each failure domain.
type Scale struct {
	Min, Max int
	// Boot is the time from an order until the new server serves.
	Boot time.Duration
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// KVCapacity is the size of the key-value cache, which running requests and cached prompts share, in tokens.
	KVCapacity int64
	// CapacityMB is the total size of the weights that a server can hold, in MB.
	CapacityMB float64
	// AdapterSlots is the number of adapters that a server can hold.
	AdapterSlots int
	Models       []Model
}

// Model is a base model.
type Model struct {
	Name string
	// WeightsMB is the size of the base model, and AdapterMB that of each adapter, in MB.
	WeightsMB float64
	AdapterMB float64
}

// Limits are the limits for the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Rate and Burst are in tokens, or in requests if CountsTokens is false; a Rate of 0 means no limit.
	Rate         float64
	Burst        float64
	CountsTokens bool
	// DefaultCost is the cost in tokens of a request that states neither prompt nor output tokens.
	DefaultCost float64
	Urgency     int
	// HasUrgency is true if Urgency is set; it then replaces the urgency of the route.
	HasUrgency bool
}

// New returns a configuration with indexes of its routes and API keys.
func New(version int64, routes []Route, services []Service, accounts []Account, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Accounts: make(map[string]Account, len(accounts)),
		Limits:   limits,
		keys:     map[string]string{},
		hosts:    map[string][]Route{},
	}

	for _, service := range services {
		c.Services[service.Name] = service
	}

	for _, account := range accounts {
		c.Accounts[account.Name] = account

		for _, key := range account.Keys {
			c.keys[key] = account.Name
		}
	}

	for _, route := range routes {
		c.hosts[route.Host] = insertByPrefix(c.hosts[route.Host], route)
	}

	return c
}

// insertByPrefix adds a route after those whose prefixes are at least as long.
func insertByPrefix(routes []Route, route Route) []Route {
	at := len(routes)

	for i := range routes {
		if len(routes[i].Prefix) < len(route.Prefix) {
			at = i
			break
		}
	}

	routes = append(routes, Route{})
	copy(routes[at+1:], routes[at:])
	routes[at] = route

	return routes
}

// Match returns the route of the host with the longest prefix of the path; false if there is none.
func (c *Config) Match(host, path string) (Route, bool) {
	for _, route := range c.hosts[hostname(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}

	return Route{}, false
}

// AccountByKey returns the client account that owns a key; false if there is none.
func (c *Config) AccountByKey(key string) (Account, bool) {
	name, ok := c.keys[key]
	if !ok || key == "" {
		return Account{}, false
	}

	return c.Accounts[name], true
}

// RequiresKeys reports whether routes require keys: without client accounts, all routes are public.
func (c *Config) RequiresKeys() bool {
	return len(c.Accounts) > 0
}

// hostname returns the host name in lower case and without the port.
func hostname(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}

	return strings.ToLower(host)
}

// Cost returns the cost of a request in the unit of the account's rate: tokens, or 1 for a request.
func (a Account) Cost(promptTokens, maxOutputTokens int64) float64 {
	if !a.CountsTokens {
		return 1
	}

	if promptTokens+maxOutputTokens == 0 {
		return a.DefaultCost
	}

	return float64(promptTokens + maxOutputTokens)
}
