package order_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Guards against a test double that does not count repeated bookings, over HTTP and in memory.
func TestEachCallBooksAgain(t *testing.T) {
	cases := map[string]func(t *testing.T, standin *order.Server) service.Caller{
		"memory": func(_ *testing.T, standin *order.Server) service.Caller { return standin },
		"http": func(t *testing.T, standin *order.Server) service.Caller {
			t.Helper()

			server := httptest.NewServer(standin.Handler())
			t.Cleanup(server.Close)

			return &service.Client{URL: server.URL}
		},
	}
	book := service.Request{ID: "req-1", Method: http.MethodPost, Path: "/press/book", Body: []byte("plate")}
	check := service.Request{ID: "req-2", Method: http.MethodGet, Path: "/press/availability", Query: "day=1"}

	for name, caller := range cases {
		t.Run(name, func(t *testing.T) {
			standin := &order.Server{}
			target := caller(t, standin)

			for _, want := range []string{`{"number":1,"order":"plate"}`, `{"number":2,"order":"plate"}`} {
				response, err := target.Call(t.Context(), book)
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), want)
			}

			standin.Switches.Set(switches.State{LostResponses: 1})

			response, err := target.Call(t.Context(), check)
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), `{"query":"day=1","available":true}`)

			_, err = target.Call(t.Context(), book)
			assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
			assert.Equal(t, standin.Record().Bookings["plate"], int64(3))
			assert.Equal(t, standin.Record().AvailabilityCalls, int64(1))

			standin.Switches.Set(switches.State{Outage: true})

			_, err = target.Call(t.Context(), book)
			assert.Assert(t, err != nil)
			assert.Equal(t, standin.Record().Bookings["plate"], int64(3))
		})
	}
}
