package inspect_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/inspect"
)

// draft returns a configuration without findings.
func draft() *inspect.Draft {
	return &inspect.Draft{
		Version: 2,
		Routes: []catalog.Route{
			{Name: "ask", Host: "a.example", Prefix: "/", Timeout: 2 * time.Second, Objective: time.Second, GapTarget: time.Second, MaxAttempts: 1, Targets: []catalog.Target{{Service: "chat", Weight: 1}}},
			{Name: "order", Host: "a.example", Prefix: "/order/", MaxAttempts: 1, Targets: []catalog.Target{{Service: "desk", Weight: 1}}},
		},
		Services: []catalog.Service{
			{Name: "chat", Engine: &catalog.Engine{Slots: 4, KVCapacity: 100, CapacityMB: 700, AdapterSlots: 2, Models: []catalog.Model{{Name: "m", WeightsMB: 690, AdapterMB: 10}}}},
			{Name: "desk"},
		},
		Accounts: []catalog.Account{
			{Name: "acme", Keys: []string{"key-of-acme"}, Rate: 10, Burst: 20, CountsTokens: true, DefaultCost: 20},
			{Name: "bolt", Keys: []string{"key-of-bolt"}, Rate: 10, Burst: 1},
			{Name: "free", Keys: []string{"key-of-free"}},
		},
		Limits: catalog.Limits{MaxHeaderBytes: 100, MaxBodyBytes: 200, HeaderTimeout: time.Second, IdleTimeout: time.Second},
	}
}

// Guards against a fault in a configuration that the check does not report, and against reports about a sound one.
func TestInspect(t *testing.T) {
	cases := map[string]struct {
		change func(d *inspect.Draft)
		want   []string
	}{
		"sound": {func(*inspect.Draft) {}, nil},
		"dropped by the decoder": {
			func(d *inspect.Draft) {
				d.Dropped = []inspect.Finding{{Class: inspect.Error, Place: "limits", Text: "lost"}}
			},
			[]string{"error: limits: lost"},
		},
		"route without a name": {
			func(d *inspect.Draft) { d.Routes[1].Name = "" },
			[]string{"error: route number 2: the name is missing"},
		},
		"service twice": {
			func(d *inspect.Draft) { d.Services = append(d.Services, catalog.Service{Name: "desk"}) },
			[]string{`error: service "desk": an earlier service has the same name`},
		},
		"account without a name": {
			func(d *inspect.Draft) { d.Accounts[2].Name = "" },
			[]string{"error: account number 3: the name is missing"},
		},
		"same host and prefix": {
			func(d *inspect.Draft) { d.Routes[1].Prefix = "/" },
			[]string{`never matches: route "order": route "ask" has the same host "a.example" and prefix "/"`},
		},
		"same prefix at another host": {
			func(d *inspect.Draft) { d.Routes[1].Prefix, d.Routes[1].Host = "/", "b.example" }, nil,
		},
		"prefix does not begin with a slash": {
			func(d *inspect.Draft) { d.Routes[1].Prefix = "order/" },
			[]string{`never matches: route "order": the prefix "order/" does not begin and end with a slash`},
		},
		"prefix does not end with a slash": {
			func(d *inspect.Draft) { d.Routes[1].Prefix = "/order" },
			[]string{`never matches: route "order": the prefix "/order" does not begin and end with a slash`},
		},
		"no prefix": {
			func(d *inspect.Draft) { d.Routes[1].Prefix = "" },
			[]string{`never matches: route "order": the prefix "" does not begin and end with a slash`},
		},
		"no host": {
			func(d *inspect.Draft) { d.Routes[1].Host = "" },
			[]string{`never matches: route "order": the host is missing`},
		},
		"host with a port": {
			func(d *inspect.Draft) { d.Routes[1].Host = "a.example:80" },
			[]string{`never matches: route "order": the host "a.example:80" has a port; requests are matched without it`},
		},
		"unknown service": {
			func(d *inspect.Draft) {
				d.Routes[1].Targets = []catalog.Target{{Service: "desk", Weight: 1}, {Service: "none", Weight: 1}}
			},
			[]string{`never matches: route "order": the service "none" does not exist`},
		},
		"no service": {
			func(d *inspect.Draft) { d.Routes[1].Targets[0].Service = "" },
			[]string{`never matches: route "order": the name of a service is missing`},
		},
		"latency target at the timeout": {func(d *inspect.Draft) { d.Routes[0].Objective = 2 * time.Second }, nil},
		"latency target above the timeout": {
			func(d *inspect.Draft) { d.Routes[0].Objective = 3 * time.Second },
			[]string{`contradiction: route "ask": the latency target 3s is above the timeout 2s`},
		},
		"longest pause above the timeout": {
			func(d *inspect.Draft) { d.Routes[0].GapTarget = 3 * time.Second },
			[]string{`contradiction: route "ask": the longest pause 3s is above the timeout 2s`},
		},
		"latency target without a timeout": {func(d *inspect.Draft) { d.Routes[0].Timeout = 0 }, nil},
		"model larger than a server": {
			func(d *inspect.Draft) { d.Services[0].Engine.Models[0].WeightsMB = 701 },
			[]string{`contradiction: service "chat", model "m": its 701 MB exceed the 700 MB that a server holds`},
		},
		"adapter does not fit": {
			func(d *inspect.Draft) { d.Services[0].Engine.Models[0].AdapterMB = 10.5 },
			[]string{`contradiction: service "chat", model "m": an adapter of 10.5 MB does not fit beside the model of 690 MB in the 700 MB that a server holds`},
		},
		"no places for adapters": {
			func(d *inspect.Draft) { d.Services[0].Engine.AdapterSlots = 0 },
			[]string{`contradiction: service "chat", model "m": the model has adapters, but a server holds none`},
		},
		"no places and no adapters": {
			func(d *inspect.Draft) {
				d.Services[0].Engine.AdapterSlots, d.Services[0].Engine.Models[0].AdapterMB = 0, 0
			}, nil,
		},
		"model without a name": {
			func(d *inspect.Draft) { d.Services[0].Engine.Models[0].Name = "" },
			[]string{`error: service "chat", model number 1: the name is missing`},
		},
		"key of two accounts": {
			func(d *inspect.Draft) { d.Accounts[1].Keys = []string{"key-of-acme"} },
			[]string{`never matches: account "bolt": the API key ...acme is also a key of account "acme"; only one of them can match`},
		},
		"key twice": {
			func(d *inspect.Draft) { d.Accounts[0].Keys = []string{"key-of-acme", "key-of-acme"} },
			[]string{`error: account "acme": the API key ...acme is listed twice`},
		},
		"empty key": {
			func(d *inspect.Draft) { d.Accounts[0].Keys = []string{""} },
			[]string{`never matches: account "acme": an API key is empty`},
		},
		"no key": {
			func(d *inspect.Draft) { d.Accounts[0].Keys = nil },
			[]string{`never matches: account "acme": the account has no API key`},
		},
		"burst below the usual cost": {
			func(d *inspect.Draft) { d.Accounts[0].Burst = 19 },
			[]string{`contradiction: account "acme": the burst 19 is below the usual cost 20 of one request`},
		},
		"burst below one request": {
			func(d *inspect.Draft) { d.Accounts[1].Burst = 0.5 },
			[]string{`contradiction: account "bolt": the burst 0.5 is below the usual cost 1 of one request`},
		},
		"burst without a rate": {
			func(d *inspect.Draft) { d.Accounts[2].Burst = 5 },
			[]string{`contradiction: account "free": the burst is 5, but the rate 0 means no limit`},
		},
		"limits of 0": {
			func(d *inspect.Draft) { d.Limits.MaxHeaderBytes, d.Limits.MaxBodyBytes = 0, 0 },
			[]string{"contradiction: limits: the largest header is 0 bytes", "contradiction: limits: the largest body is 0 bytes"},
		},
		"header timeout above the idle timeout": {
			func(d *inspect.Draft) { d.Limits.HeaderTimeout = 2 * time.Second },
			[]string{"contradiction: limits: the header timeout 2s is above the idle timeout 1s"},
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := draft()
			c.change(d)

			findings := inspect.Inspect(d)
			got := make([]string, 0, len(findings))

			for _, finding := range findings {
				got = append(got, finding.String())
			}

			assert.Equal(t, strings.Join(got, "\n"), strings.Join(c.want, "\n"))
		})
	}
}

// Guards against differences that are not listed, are listed without a change, or show a whole key.
func TestDiff(t *testing.T) {
	cases := map[string]struct {
		change func(d *inspect.Draft)
		want   []string
	}{
		"none":         {func(*inspect.Draft) {}, nil},
		"other order":  {func(d *inspect.Draft) { d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0] }, nil},
		"route gone":   {func(d *inspect.Draft) { d.Routes = d.Routes[:1] }, []string{`removed: route "order"`}},
		"service more": {func(d *inspect.Draft) { d.Services = append(d.Services, catalog.Service{Name: "new"}) }, []string{`added: service "new"`}},
		"account renamed": {
			func(d *inspect.Draft) { d.Accounts[2].Name = "gift" }, []string{`removed: account "free"`, `added: account "gift"`},
		},
		"route": {
			func(d *inspect.Draft) {
				d.Routes[0].Timeout, d.Routes[0].RetryPolicy = 3*time.Second, catalog.Idempotent
				d.Routes[0].Targets = []catalog.Target{{Service: "chat", Weight: 9}, {Service: "desk", Weight: 1}}
			},
			[]string{
				`changed: route "ask": retry policy: at most once -> idempotent`, `changed: route "ask": timeout: 2s -> 3s`,
				`changed: route "ask": services: "chat" 1 -> "chat" 9, "desk" 1`,
			},
		},
		"service becomes scaled": {
			func(d *inspect.Draft) { d.Services[1].Scale = &catalog.Scale{Min: 1, Max: 3, Boot: time.Second} },
			[]string{
				`changed: service "desk": fewest servers: none -> 1`, `changed: service "desk": most servers: none -> 3`,
				`changed: service "desk": boot time: none -> 1s`,
			},
		},
		"service loses its models": {
			func(d *inspect.Draft) { d.Services[0].Engine.Models = nil },
			[]string{`changed: service "chat": model "m" in MB: 690 -> none`, `changed: service "chat": model "m" adapter in MB: 10 -> none`},
		},
		"priority of an account": {
			func(d *inspect.Draft) { d.Accounts[0].HasUrgency = true }, []string{`changed: account "acme": priority: none -> 0`},
		},
		"keys with the same end": {
			func(d *inspect.Draft) { d.Accounts[0].Keys = []string{"new-key-of-acme"} },
			[]string{`changed: account "acme": API key ...acme removed`, `changed: account "acme": API key ...acme added`},
		},
		"limits": {func(d *inspect.Draft) { d.Limits.MaxBodyBytes = 300 }, []string{"changed: limits: largest body: 200 -> 300"}},
		"second of a name": {
			func(d *inspect.Draft) { d.Services = append(d.Services, catalog.Service{Name: "desk", ColdRate: 1}) },
			[]string{`added: service "desk" (entry 2 of this name)`},
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			changed := draft()
			c.change(changed)

			assert.DeepEqual(t, inspect.Diff(draft(), changed), c.want)
			assert.Assert(t, len(inspect.Diff(changed, changed)) == 0)
		})
	}
}

// Guards against a version that the running system would ignore because it has the same or a higher one.
func TestCompareVersions(t *testing.T) {
	cases := map[string]struct {
		base, version int64
		findings      int
	}{
		"higher": {1, 2, 0},
		"same":   {2, 2, 1},
		"lower":  {3, 2, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := inspect.CompareVersions(&inspect.Draft{Version: c.base}, &inspect.Draft{Version: c.version})
			assert.Equal(t, len(got), c.findings)
		})
	}
}

// Guards against reports that show a short key as a whole.
func TestMaskKey(t *testing.T) {
	cases := map[string]struct{ key, want string }{
		"long":       {"key-of-acme", "...acme"},
		"short":      {"acme", "...me"},
		"one":        {"a", "..."},
		"empty":      {"", "..."},
		"multi-byte": {"éééééééé", "...éééé"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, inspect.MaskKey(c.key), c.want)
		})
	}
}
