package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/api"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const apiKey = "cb-secret-of-pistas"

// fleet is a system in memory: one or more entries, fake agents and a fake platform.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	network *network
	doc     *document.Document
	table   table.Table
	agents  []*agent
	list    vms.List
	mu      sync.Mutex
	revoked bool
	// unconfirmed stops the confirmation of the document.
	unconfirmed bool
	debited     int64
	// rateLimited refuses debits, and debitPanics makes them panic.
	rateLimited, debitPanics bool
	needsShares              bool
	refunds                  []int64
}

func (f *fleet) List(context.Context) (vms.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.list, nil
}

func (f *fleet) Lookup(key string) (id, account string, state api.KeyState) {
	f.mu.Lock()
	defer f.mu.Unlock()

	switch {
	case key != apiKey:
		return "", "", api.KeyUnknown
	case f.revoked:
		return "", "", api.KeyRevoked
	default:
		return "key-1", "pistas", api.KeyValid
	}
}

func (f *fleet) Debit(_ context.Context, _ string, amount int64) (api.Charge, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.debitPanics {
		panic("debit failed")
	}

	if f.rateLimited {
		return nil, fault.New(fault.RateLimited, "the client account is above its rate").WithRetryAfter(3200 * time.Millisecond)
	}

	f.debited += amount

	return amount, nil
}

func (f *fleet) Refund(_ api.Charge, unused int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refunds = append(f.refunds, unused)
}

func (f *fleet) Resolve(doc *document.Document, _ api.Target) document.Default { return doc.Default }

func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()

	f := &fleet{t: t, ctx: t.Context(), network: &network{}, table: &table.Memory{}, doc: &document.Document{
		Version:  7,
		Default:  document.Default{Timeout: document.Duration(20 * time.Second), Output: 16, Body: 1 << 16},
		Accounts: map[string]document.Account{"pistas": {Rate: 100, Burst: 1000}},
		Models:   map[string]document.Model{"base": {Context: 4096}},
		Adapters: map[string]document.Adapter{"quotes": {Model: "base", Versions: []string{"1", "2"}, Pin: "2"}},
		Routes: map[string]document.Route{
			"press": {Path: "/press/", Service: "press", Methods: []string{"POST"}, Cost: 5},
			"dates": {Path: "/dates/", Service: "press", Methods: []string{"GET"}, Open: true, Idempotent: true},
		},
	}}

	for _, name := range names {
		f.add(name)
	}

	return f
}

func (f *fleet) add(name string) *agent {
	a := &agent{name: name, boot: "boot-" + name}
	a.serve(f.ctx, f.network, name+":1")

	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents = append(f.agents, a)
	f.list.Sequence++
	f.list.VMs = append(f.list.VMs, vms.VM{
		Name: "vm-" + name, Address: name + ":1", Domain: "a", Role: vms.RoleAgent,
		Server: name, Serves: []string{"model/base", "service/press"},
	})

	return a
}

// runs returns the number of requests that the backend servers were given.
func (f *fleet) runs() int { return f.sum(func(a *agent) int { return a.runs }) }

// sent returns the number of requests that the agents received.
func (f *fleet) sent() int { return f.sum(func(a *agent) int { return len(a.requests) }) }

func (f *fleet) sum(count func(a *agent) int) int {
	total := 0

	for _, a := range f.agents {
		a.mu.Lock()
		total += count(a)
		a.mu.Unlock()
	}

	return total
}

// entry is one running entry process with an HTTP client.
type entry struct {
	client *http.Client
	stop   context.CancelFunc
	ended  chan error
	dial   func() (net.Conn, error)
	board  *board.Board
}

func (f *fleet) start() *entry {
	listener := newPipeListener()
	shared := &board.Board{}
	ctx, stop := context.WithCancel(f.ctx)
	s := &server.Server{
		Board: shared, Lister: f, Table: f.table, Keys: f, Limits: f, Resolver: f,
		HTTP: listener, Peer: newPipeListener(), Dial: f.network.dial, NeedsShares: f.needsShares,
		Controllers: []server.Controller{&confirmer{fleet: f, board: shared}},
	}
	s.Settings.Place.VM = "entry-1"
	s.Settings.Place.Domain = "a"

	e := &entry{stop: stop, ended: make(chan error, 1), dial: listener.dial, board: shared}
	e.client = &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return listener.dial() },
	}}

	go func() {
		e.ended <- s.Run(ctx)
		close(e.ended)
	}()

	f.t.Cleanup(func() {
		stop()

		for range e.ended {
		}
	})

	synctest.Wait()

	return e
}

// confirmer replaces the controller that follows the configuration.
type confirmer struct {
	fleet *fleet
	board *board.Board
}

func (c *confirmer) Run(ctx context.Context) error {
	for {
		c.fleet.mu.Lock()
		if !c.fleet.unconfirmed {
			c.board.Document.Set(c.fleet.doc)
			c.board.Confirmation.Set(board.Confirmation{Version: c.fleet.doc.Version, AsOf: time.Now()})
		}
		c.fleet.mu.Unlock()

		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (e *entry) do(t *testing.T, method, path, body string, headers ...string) reply {
	t.Helper()

	got, err := e.try(t.Context(), method, path, body, headers...)
	assert.NilError(t, err)

	return got
}

func (e *entry) try(ctx context.Context, method, path, body string, headers ...string) (reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://entry"+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}

	request.Header.Set("Authorization", "Bearer "+apiKey)

	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}

	response, err := e.client.Do(request)
	if err != nil {
		return reply{}, err
	}

	defer func() { _ = response.Body.Close() }()

	data, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, header: response.Header, body: string(data)}, err
}

const (
	chatBody   = `{"model":"quotes","messages":[{"role":"user","content":"a floor for two hundred"}],"max_tokens":10}`
	streamBody = `{"model":"quotes@1","prompt":"a floor","stream":true,"stream_options":{"include_usage":true}}`
)

// Guards against a charge that differs from the tokens of prompt and output, and against an order that is not charged.
func TestCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1", "s2")
		e := f.start()

		assert.Equal(t, e.do(t, "POST", "/v1/chat/completions", chatBody).status, 200)
		assert.Equal(t, f.debited-f.refunds[0], int64(12+3))
		assert.Equal(t, e.do(t, "POST", "/press/orders", orderBody).status, 201)
		assert.Equal(t, f.debited, int64(12+10+5))
		assert.Equal(t, len(f.refunds), 1)
	})
}

func kindOf(got reply) fault.Kind {
	for _, kind := range fault.Kinds() {
		if strings.Contains(got.body, `"code":"`+string(kind)+`"`) {
			return kind
		}
	}

	return ""
}
