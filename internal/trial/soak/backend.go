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

// backendTimeout bounds a call of a backend server whose answer does not come.
const backendTimeout = 30 * time.Second

// backend is a backend server with the agent beside it.
type backend struct {
	// name is the name of the server; a replacement has another one.
	name   string
	vm     string
	domain string
	// model is set for engines and orders for order servers.
	model  *standin.Server
	orders *order.Server
	agent  *process
	// turned says that the engine became cold while it ran, so that its record of cold load is no evidence.
	turned bool
}

func (b *backend) address() string { return b.vm + ":1" }

// nonceOf returns the part of a prompt or body that identifies the caller's request.
func nonceOf(text string) string {
	parts := strings.SplitN(text, "#", 3)
	if len(parts) < 3 {
		return ""
	}

	return parts[1]
}

// inspect checks P4: no field of a request holds a caller's key.
func (r *Record) inspect(server string, request any) {
	data, err := json.Marshal(request)
	if err != nil {
		r.violate("P4: request of %s cannot be read: %v", server, err)
	}

	for _, secret := range r.secrets {
		if strings.Contains(string(data), secret) {
			r.violate("P4: %s received a key: %s", server, data)
		}
	}
}

// engineClient is the engine as its agent sees it.
type engineClient struct {
	*standin.Server

	network *Network
	record  *Record
	owner   *process
	backend *backend
}

func (c *engineClient) pass(ctx context.Context) error {
	if err := c.network.pass(ctx, c.owner, c.backend.name, backendTimeout); err != nil {
		return fault.Wrap(err, fault.BackendFailed, "engine")
	}

	return nil
}

// Info implements engine.Engine.
func (c *engineClient) Info(ctx context.Context) (engine.Info, error) {
	if err := c.pass(ctx); err != nil {
		return engine.Info{}, err
	}

	return c.Server.Info(ctx)
}

// Report implements engine.Engine.
func (c *engineClient) Report(ctx context.Context) (engine.Report, error) {
	if err := c.pass(ctx); err != nil {
		return engine.Report{}, err
	}

	return c.Server.Report(ctx)
}

// Order implements engine.Engine.
func (c *engineClient) Order(ctx context.Context, wanted engine.Order) error {
	if err := c.pass(ctx); err != nil {
		return err
	}

	return c.Server.Order(ctx, wanted)
}

// Cancel implements engine.Engine.
func (c *engineClient) Cancel(ctx context.Context, id string) error {
	if err := c.pass(ctx); err != nil {
		return err
	}

	return c.Server.Cancel(ctx, id)
}

// Generate implements engine.Engine.
func (c *engineClient) Generate(ctx context.Context, request engine.Request) (engine.Stream, error) {
	// The agent decides now to start the request, also when its call comes late.
	begun := time.Now()

	if err := c.pass(ctx); err != nil {
		return nil, err
	}

	c.record.inspect(c.backend.name, request)

	opened, err := c.Server.Generate(ctx, request)
	if err != nil {
		return nil, err
	}

	c.record.started(nonceOf(request.Prompt), start{at: begun, server: c.backend.name, domain: c.backend.domain})

	if err := c.pass(ctx); err != nil {
		_ = opened.Close()
		return nil, err
	}

	return &stream{Stream: opened, client: c, ctx: ctx}, nil
}

// Resume implements engine.Engine.
func (c *engineClient) Resume(ctx context.Context, id string, seq int64) (engine.Stream, error) {
	if err := c.pass(ctx); err != nil {
		return nil, err
	}

	opened, err := c.Server.Resume(ctx, id, seq)
	if err != nil {
		return nil, err
	}

	return &stream{Stream: opened, client: c, ctx: ctx}, nil
}

// stream delivers events to a live agent only.
type stream struct {
	engine.Stream

	client *engineClient
	//nolint:containedctx // a stream lives in the context of its request.
	ctx context.Context
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Event, error) {
	next, err := s.Stream.Next()
	if err != nil {
		return next, err
	}

	if err := s.client.pass(s.ctx); err != nil {
		return engine.Event{}, err
	}

	return next, nil
}

// orderClient is the order server as its agent sees it.
type orderClient struct {
	network *Network
	record  *Record
	owner   *process
	backend *backend
}

// Call implements service.Caller.
func (c *orderClient) Call(ctx context.Context, request service.Request) (service.Response, error) {
	begun := time.Now()

	if err := c.network.pass(ctx, c.owner, c.backend.name, backendTimeout); err != nil {
		return service.Response{}, fault.Wrap(err, fault.NoServer, "call was not sent")
	}

	c.record.inspect(c.backend.name, request)
	c.record.inspect(c.backend.name, string(request.Body))

	before := c.backend.orders.Record().Bookings[string(request.Body)]
	response, err := c.backend.orders.Call(ctx, request)

	if c.backend.orders.Record().Bookings[string(request.Body)] > before {
		c.record.started(nonceOf(string(request.Body)), start{at: begun, server: c.backend.name, domain: c.backend.domain})
	}

	if err != nil {
		return response, err
	}

	if err := c.network.pass(ctx, c.owner, c.backend.name, backendTimeout); err != nil {
		return service.Response{}, fault.Wrap(err, fault.OutcomeUnknown, "no answer to the call")
	}

	return response, nil
}
