package table_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	platformtable "github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/table"
)

// create returns a transaction that writes a new row and fails if the row exists.
func create(key, value string) platformtable.Txn {
	return platformtable.Txn{
		Checks: []platformtable.Check{{Key: key}},
		Puts:   []platformtable.Put{{Key: key, Value: []byte(value)}},
	}
}

func serve(t *testing.T) (*table.Server, *platformtable.Client) {
	t.Helper()

	standin := &table.Server{}
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)

	return standin, &platformtable.Client{URL: server.URL}
}

// Guards against keys and values that change on the way over HTTP, and against a conflict that is reported as an outage.
func TestClientReadsWhatItCommitted(t *testing.T) {
	_, client := serve(t)
	key := "order/a&b=c/ö key?"

	revision, err := client.Commit(t.Context(), create(key, "\x00value\xff"))
	assert.NilError(t, err)

	row, err := client.Get(t.Context(), key)
	assert.NilError(t, err)
	assert.DeepEqual(t, row, platformtable.Row{Key: key, Value: []byte("\x00value\xff"), Version: revision})

	_, err = client.Commit(t.Context(), create(key, "again"))
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)

	_, err = client.Commit(t.Context(), create("order/b", ""))
	assert.NilError(t, err)

	rows, err := client.List(t.Context(), "order/", key, 5)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)

	absent, err := client.Get(t.Context(), "absent")
	assert.NilError(t, err)
	assert.Equal(t, absent.Version, int64(0))
}

// Guards against a failed commit that is reported with the wrong kind: only a conflict may state that nothing was written.
func TestFaultsAreTableUnavailable(t *testing.T) {
	cases := map[string]struct {
		state   switches.State
		written bool
	}{
		"outage":        {switches.State{Outage: true}, false},
		"lost response": {switches.State{LostResponses: 1}, true},
		"slow":          {switches.State{RequestDelayMS: 60_000}, false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			standin, client := serve(t)
			standin.Switches.Set(tc.state)

			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()

			_, err := client.Commit(ctx, create("key", "value"))
			assert.Assert(t, fault.Is(err, fault.TableUnavailable), "%v", err)

			standin.Switches.Set(switches.State{})

			row, err := client.Get(t.Context(), "key")
			assert.NilError(t, err)
			assert.Equal(t, row.Version != 0, tc.written)
		})
	}
}
