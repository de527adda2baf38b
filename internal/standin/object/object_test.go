package object_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	platformobject "github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/object"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Guards against a value that the store changes, against a missing object that is reported as an outage, or the reverse, and
// against an unsorted list.
func TestClientDistinguishesMissingObjectFromOutage(t *testing.T) {
	standin := &object.Server{}
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)

	client := &platformobject.Client{URL: server.URL}

	for _, key := range []string{"config/snapshot/2", "config/snapshot/10", "other"} {
		assert.NilError(t, client.Put(t.Context(), key, []byte("\x00"+key)))
	}

	value, err := client.Get(t.Context(), "config/snapshot/2")
	assert.NilError(t, err)
	assert.Equal(t, string(value), "\x00config/snapshot/2")

	keys, err := client.List(t.Context(), "config/")
	assert.NilError(t, err)
	assert.DeepEqual(t, keys, []string{"config/snapshot/10", "config/snapshot/2"})

	_, err = client.Get(t.Context(), "absent")
	assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)

	standin.Switches.Set(switches.State{Outage: true})

	_, err = client.Get(t.Context(), "absent")
	assert.Assert(t, fault.Is(err, fault.BackendFailed), "%v", err)
}
