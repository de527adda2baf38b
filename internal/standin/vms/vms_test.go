package vms_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
	platformvms "github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
)

// Guards against changes over HTTP that do not reach the list, and against an outage that is reported as an empty list.
func TestListOverHTTP(t *testing.T) {
	standin := &vms.Server{}
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)

	client := &platformvms.Client{URL: server.URL}
	vm := platformvms.VM{Name: "vm-1", Address: "10.0.0.1:7000", Domain: "d1", Role: platformvms.RoleAgent, Serves: []string{"model/base"}}
	change := rest.Call{Method: http.MethodPut, URL: server.URL + "/vms/vm-1"}
	assert.NilError(t, rest.JSON(t.Context(), change, vm, nil))

	list, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, list, platformvms.List{Sequence: 1, VMs: []platformvms.VM{vm}})

	change.Method = http.MethodDelete
	assert.NilError(t, rest.JSON(t.Context(), change, nil, nil))

	list, err = client.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, list.Sequence, int64(2))
	assert.Equal(t, len(list.VMs), 0)

	standin.Switches.Set(switches.State{Outage: true})

	_, err = client.List(t.Context())
	assert.Assert(t, fault.Is(err, fault.BackendFailed), "%v", err)
}

// Guards against polls that transfer an unchanged list, and against a cached list that is taken for current after the service
// restarted and reached the same sequence number.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	standin := &vms.Server{}
	sent := 0
	handler := func(w http.ResponseWriter, request *http.Request) {
		recorder := httptest.NewRecorder()
		standin.Handler().ServeHTTP(recorder, request)

		sent += recorder.Body.Len()
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}

	server := httptest.NewServer(http.HandlerFunc(handler))
	t.Cleanup(server.Close)

	client := &platformvms.Client{URL: server.URL}
	names := func() (found []string) {
		list, err := client.List(t.Context())
		assert.NilError(t, err)

		for _, vm := range list.VMs {
			found = append(found, vm.Name)
		}

		return found
	}

	standin.Put(platformvms.VM{Name: "vm-1"})
	assert.DeepEqual(t, names(), []string{"vm-1"})

	first := sent
	assert.DeepEqual(t, names(), []string{"vm-1"})
	assert.Equal(t, sent, first)

	standin.Put(platformvms.VM{Name: "vm-2"})
	assert.DeepEqual(t, names(), []string{"vm-1", "vm-2"})

	standin = &vms.Server{}
	standin.Put(platformvms.VM{Name: "vm-3"})
	standin.Put(platformvms.VM{Name: "vm-4"})
	assert.DeepEqual(t, names(), []string{"vm-3", "vm-4"})
}

// Guards against changes that are visible at once, which would hide faults of processes that see the VM list late.
func TestChangesAreVisibleAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := &vms.Server{Lag: time.Minute}
		count := func() int {
			list, err := standin.List(t.Context())
			assert.NilError(t, err)

			return len(list.VMs)
		}

		standin.Put(platformvms.VM{Name: "vm-1"})
		time.Sleep(time.Minute - time.Millisecond)
		assert.Equal(t, count(), 0)

		standin.Remove("vm-1")
		time.Sleep(time.Millisecond)
		assert.Equal(t, count(), 1)

		time.Sleep(time.Minute)
		assert.Equal(t, count(), 0)
	})
}
