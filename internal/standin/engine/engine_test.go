package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/weight"
)

var adapter = api.Adapter{Name: "quote", Version: "v3"}

// streamResult is what a stream delivered: the text, the number of events of other requests and the end marker.
type streamResult struct {
	text    string
	foreign int
	end     api.Event
}

func readStream(t *testing.T, id string, stream api.Stream) streamResult {
	t.Helper()

	var got streamResult

	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return got
		}

		assert.NilError(t, err)

		switch {
		case event.ID != id:
			got.foreign++
		case event.End:
			got.end = event
		default:
			got.text += event.Text
		}
	}
}

func load(t *testing.T, target api.Engine, adapter api.Adapter) {
	t.Helper()
	assert.NilError(t, target.Order(context.Background(), api.Order{Action: api.ActionLoad, Adapter: adapter}))
}

func request(id string) api.Request {
	return api.Request{ID: id, Model: "base", Adapter: adapter, Prompt: "a quote for " + id, MaxTokens: 12}
}

func serve(t *testing.T, config engine.Config) (*engine.Server, *api.Client) {
	t.Helper()

	if config.Fetch == nil {
		config.Fetch = func(context.Context, api.Adapter) error { return nil }
	}

	standin := engine.New(config)
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)

	return standin, &api.Client{URL: server.URL}
}

// Guards against events that are lost or reordered between the engine and its client.
func TestClientReadsCompleteStream(t *testing.T) {
	_, client := serve(t, engine.Config{TokenTime: 1})
	load(t, client, adapter)

	stream, err := client.Generate(t.Context(), request("req-1"))
	assert.NilError(t, err)

	got := readStream(t, "req-1", stream)
	tokens, finish := engine.Output(request("req-1"))
	assert.Equal(t, got.text, strings.Join(tokens, ""))
	assert.Equal(t, got.end.FinishReason, finish)
	assert.Equal(t, got.end.Seq, int64(len(tokens)))
	assert.Equal(t, got.end.OutputTokens, int64(12))
}

// Guards against fault switches without effect, and against a client that cannot tell a truncated or mixed stream from a good one.
func TestStreamFaults(t *testing.T) {
	tokens, _ := engine.Output(request("req"))
	complete := strings.Join(tokens, "")
	cases := map[string]struct {
		faults  engine.Faults
		text    string
		foreign int
		end     bool
	}{
		"none":             {engine.Faults{}, complete, 0, true},
		"mixed":            {engine.Faults{MixedStreams: 1}, complete, len(tokens) + 1, true},
		"truncated":        {engine.Faults{TruncatedStreams: 1}, strings.Join(tokens[:len(tokens)/2], ""), 0, false},
		"delayed response": {engine.Faults{State: switches.State{ResponseDelayMS: 20}}, complete, 0, true},
		"delayed request":  {engine.Faults{State: switches.State{RequestDelayMS: 20}}, complete, 0, true},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			standin, client := serve(t, engine.Config{TokenTime: 1})
			load(t, client, adapter)
			standin.SetFaults(tc.faults)

			stream, err := client.Generate(t.Context(), request("req"))
			assert.NilError(t, err)

			got := readStream(t, "req", stream)
			assert.Equal(t, got.text, tc.text)
			assert.Equal(t, got.foreign, tc.foreign)
			assert.Equal(t, got.end.End, tc.end)

			stream, err = client.Resume(t.Context(), "req", 7)
			assert.NilError(t, err)
			assert.Equal(t, readStream(t, "req", stream).text, strings.Join(tokens[7:], ""))
		})
	}
}

// Guards against errors that lose their kind over HTTP.
func TestErrorKinds(t *testing.T) {
	order := func(action api.Action, adapter api.Adapter, fence int64) func(api.Engine) error {
		return func(target api.Engine) error {
			return target.Order(context.Background(), api.Order{Action: action, Adapter: adapter, Fence: fence})
		}
	}
	generate := func(request api.Request) func(api.Engine) error {
		return func(target api.Engine) error {
			_, err := target.Generate(context.Background(), request)
			return err
		}
	}
	other := api.Adapter{Name: "other", Version: "v1"}
	cases := map[string]struct {
		faults engine.Faults
		call   func(api.Engine) error
		kind   fault.Kind
	}{
		"adapter not resident": {engine.Faults{}, generate(api.Request{ID: "r", Model: "base", Adapter: other}), fault.NotFound},
		"model not loaded":     {engine.Faults{}, generate(api.Request{ID: "r", Model: "no", Adapter: adapter}), fault.NotFound},
		"slots taken":          {engine.Faults{}, order(api.ActionLoad, other, 2), fault.Overloaded},
		"old fencing number":   {engine.Faults{}, order(api.ActionUnload, adapter, 1), fault.Conflict},
		"unknown action":       {engine.Faults{}, order("move", adapter, 2), fault.BackendFailed},
		"outage":               {engine.Faults{State: switches.State{Outage: true}}, generate(request("r")), fault.BackendFailed},
		"lost response":        {engine.Faults{State: switches.State{LostResponses: 1}}, generate(request("r")), fault.BackendFailed},
		"unknown request": {engine.Faults{}, func(target api.Engine) error {
			_, err := target.Resume(context.Background(), "unknown", 0)
			return err
		}, fault.NotFound},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			standin, client := serve(t, engine.Config{Models: []string{"base"}, Slots: 1, TokenTime: 1, Fencing: true})
			assert.NilError(t, order(api.ActionLoad, adapter, 2)(client))

			for _, target := range []api.Engine{client, standin} {
				standin.SetFaults(tc.faults)

				err := tc.call(target)
				assert.Assert(t, fault.Is(err, tc.kind), "%T: %v", target, err)
			}
		})
	}
}

// Guards against a call whose response is lost and that has no effect either, and against a request to /switch that resets the
// switches that it does not name.
func TestCallWithLostResponseTakesEffect(t *testing.T) {
	standin := engine.New(engine.Config{TokenTime: 1})
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)

	for _, body := range []string{`{"lost":1}`, `{"cut":3}`} {
		_, err := rest.Bytes(t.Context(), rest.Call{
			Method: http.MethodPost, URL: server.URL + "/switch", Body: []byte(body), ContentType: "application/json",
		})
		assert.NilError(t, err)
	}

	assert.Equal(t, standin.Faults().TruncatedStreams, int64(3))

	client := &api.Client{URL: server.URL}
	err := client.Order(t.Context(), api.Order{Action: api.ActionLoad, Adapter: adapter})
	assert.Assert(t, fault.Is(err, fault.BackendFailed), "%v", err)

	report, err := client.Report(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Resident, []api.Adapter{adapter})
}

// Guards against an engine that loads adapters without the weight store, and against headers that are not recorded.
func TestLoadsFromTheWeightStore(t *testing.T) {
	store := &weight.Store{}
	weights := httptest.NewServer(store.Handler())
	t.Cleanup(weights.Close)

	standin, client := serve(t, engine.Config{Fetch: (&weight.Client{URL: weights.URL}).Load})
	load(t, client, adapter)
	assert.Equal(t, store.Record().Loads, int64(1))
	assert.DeepEqual(t, standin.Record().Headers["Content-Type"], []string{"application/json"})

	store.Switches.Set(switches.State{Outage: true})

	err := client.Order(t.Context(), api.Order{Action: api.ActionLoad, Adapter: api.Adapter{Name: "other"}})
	assert.Assert(t, fault.Is(err, fault.AdapterUnavailable), "%v", err)
}
