package soak

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
)

// backendTimeout bounds a call to a backend server that does not respond.
const backendTimeout = 30 * time.Second

// backend is a backend server with its agent.
type backend struct {
	// name is the name of the server; a replacement gets a new name.
	name   string
	vm     string
	domain string
	// Exactly one of model (a model engine) and orders (an order server) is set.
	model  *standin.Server
	orders *order.Server
	agent  *process
	// becameCold is true if the engine became cold while it ran, in which case its record of the load during cold starts
	// cannot be checked.
	becameCold bool
}

// address returns the address of the agent.
func (b *backend) address() string { return b.vm + ":1" }

// nonceOf returns the nonce in a prompt or body, which identifies the caller's request, or an empty string.
func nonceOf(text string) string {
	parts := strings.SplitN(text, "#", 3)
	if len(parts) < 3 {
		return ""
	}

	return parts[1]
}

// inspect checks P4: no field of a request to a backend server contains a caller's key.
func (r *Record) inspect(server string, request any) {
	data, err := json.Marshal(request)
	if err != nil {
		r.reportViolation("P4: request to %s cannot be encoded: %v", server, err)
	}

	for _, secret := range r.secrets {
		if strings.Contains(string(data), secret) {
			r.reportViolation("P4: %s received a key: %s", server, data)
		}
	}
}

// engineClient is an agent's client of its engine, through the simulated network.
type engineClient struct {
	*standin.Server

	network *Network
	record  *Record
	process *process
	backend *backend
}

// awaitPath waits until a message between the agent and the engine can be delivered.
func (c *engineClient) awaitPath(ctx context.Context) error {
	if err := c.network.awaitPath(ctx, c.process, c.backend.name, backendTimeout); err != nil {
		return fault.Wrap(err, fault.BackendFailed, "engine")
	}

	return nil
}

// Info implements engine.Engine.
func (c *engineClient) Info(ctx context.Context) (engine.Info, error) {
	if err := c.awaitPath(ctx); err != nil {
		return engine.Info{}, err
	}

	return c.Server.Info(ctx)
}

// Report implements engine.Engine.
func (c *engineClient) Report(ctx context.Context) (engine.Report, error) {
	if err := c.awaitPath(ctx); err != nil {
		return engine.Report{}, err
	}

	return c.Server.Report(ctx)
}

// Order implements engine.Engine.
func (c *engineClient) Order(ctx context.Context, wanted engine.Order) error {
	if err := c.awaitPath(ctx); err != nil {
		return err
	}

	return c.Server.Order(ctx, wanted)
}

// Cancel implements engine.Engine.
func (c *engineClient) Cancel(ctx context.Context, id string) error {
	if err := c.awaitPath(ctx); err != nil {
		return err
	}

	return c.Server.Cancel(ctx, id)
}

// Generate implements engine.Engine.
func (c *engineClient) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	// The agent decides at this time to start the request, even if the network delays its call.
	at := time.Now()

	if err := c.awaitPath(ctx); err != nil {
		return nil, err
	}

	c.record.inspect(c.backend.name, request)

	opened, err := c.Server.Generate(ctx, request)
	if err != nil {
		return nil, err
	}

	c.record.recordStart(nonceOf(request.Prompt), start{at: at, server: c.backend.name, domain: c.backend.domain})

	if err := c.awaitPath(ctx); err != nil {
		_ = opened.Close()
		return nil, err
	}

	return &stream{Stream: opened, client: c, ctx: ctx}, nil
}

// Resume implements engine.Engine.
func (c *engineClient) Resume(ctx context.Context, id string, seq int64) (engine.Stream, error) {
	if err := c.awaitPath(ctx); err != nil {
		return nil, err
	}

	opened, err := c.Server.Resume(ctx, id, seq)
	if err != nil {
		return nil, err
	}

	return &stream{Stream: opened, client: c, ctx: ctx}, nil
}

// stream is an engine's stream that delivers events through the simulated network, until the agent is killed.
type stream struct {
	engine.Stream

	client *engineClient
	//nolint:containedctx // a stream exists within the context of its request.
	ctx context.Context
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Event, error) {
	next, err := s.Stream.Next()
	if err != nil {
		return next, err
	}

	if err := s.client.awaitPath(s.ctx); err != nil {
		return engine.Event{}, err
	}

	return next, nil
}

// orderClient is an agent's client of its order server, through the simulated network.
type orderClient struct {
	network *Network
	record  *Record
	process *process
	backend *backend
}

// Call implements service.Caller.
func (c *orderClient) Call(ctx context.Context, request service.Request) (service.Response, error) {
	at := time.Now()

	if err := c.network.awaitPath(ctx, c.process, c.backend.name, backendTimeout); err != nil {
		return service.Response{}, fault.Wrap(err, fault.NoServer, "call was not sent")
	}

	c.record.inspect(c.backend.name, request)
	c.record.inspect(c.backend.name, string(request.Body))

	before := c.backend.orders.Record().Bookings[string(request.Body)]
	response, err := c.backend.orders.Call(ctx, request)

	if c.backend.orders.Record().Bookings[string(request.Body)] > before {
		c.record.recordStart(nonceOf(string(request.Body)), start{at: at, server: c.backend.name, domain: c.backend.domain})
	}

	if err != nil {
		return response, err
	}

	if err := c.network.awaitPath(ctx, c.process, c.backend.name, backendTimeout); err != nil {
		return service.Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no response to the call")
	}

	return response, nil
}
