package engine_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
)

var adapter = api.Adapter{Name: "quote", Version: "v3"}

// answer is what a stream delivered.
type answer struct {
	text    string
	foreign int
	end     api.Event
}

func drain(t *testing.T, id string, stream api.Stream) answer {
	t.Helper()

	var got answer

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
	return api.Request{ID: id, Model: "base", Adapter: adapter, Prompt: "a quote for " + id, Tokens: 12}
}

func serve(t *testing.T, config engine.Config) (*engine.Model, *api.Client) {
	t.Helper()

	model := engine.New(config)
	server := httptest.NewServer(model.Handler())
	t.Cleanup(server.Close)

	return model, &api.Client{URL: server.URL}
}

// Guards against an answer that loses or reorders events between engine and client.
func TestClientGetsTheWholeAnswer(t *testing.T) {
	_, client := serve(t, engine.Config{TokenTime: 1})
	load(t, client, adapter)

	stream, err := client.Generate(t.Context(), request("req-1"))
	assert.NilError(t, err)

	got := drain(t, "req-1", stream)
	words, finish := engine.Text(request("req-1"))
	assert.Equal(t, got.text, strings.Join(words, ""))
	assert.Equal(t, got.end.Finish, finish)
	assert.Equal(t, got.end.Seq, int64(len(words)))
	assert.Equal(t, got.end.Output, int64(12))
}
