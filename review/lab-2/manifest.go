//go:build review

package lab

// Route is a route of the manifest.
type Route struct {
	Name, Kind, Service string
	Resumable           bool
	MaxAttempts         int
	TimeoutMs, TargetMs int
}

// PutManifest writes a version of the manifest with the given routes and keys. The services are the model service "chat" and the plain one "desk".
func (c *Cluster) PutManifest(version int, keys []string, routes ...Route) {
	list := make([]any, 0, len(routes))
	for _, route := range routes {
		list = append(list, map[string]any{
			"name": route.Name, "host": Host, "prefix": "/" + route.Name + "/", "kind": route.Kind, "timeoutMs": route.TimeoutMs, "targetLatencyMs": route.TargetMs,
			"priority": 1, "service": route.Service, "maxAttempts": route.MaxAttempts, "public": false, "resumable": route.Resumable, "gapTargetMs": 300,
		})
	}

	c.Store.Put("op", "config", map[string]any{
		"version": version, "routes": list,
		"services": []any{
			map[string]any{"name": "desk", "maxConnections": 110},
			map[string]any{"name": "chat", "maxConnections": 370, "coldS": 3, "coldPerS": 12, "engine": map[string]any{
				"slots": 64, "kvCapacity": 113076, "weightsMb": 75300, "maxAdapters": 17,
				"models": []any{map[string]any{"name": "m0", "weightsMb": 72700, "loadTimeS": 6, "adapters": 3000, "adapterSizeMb": 66}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": keys, "unit": "token_count", "plainTokens": max(c.PlainTokens, 1), "ratePerS": c.Rate, "burst": c.Burst}},
	})
	c.Record("manifest %d confirmed, keys %v", version, keys)
}

// PutServer writes the row of a server.
func (c *Cluster) PutServer(id, service, address string, born int64) {
	c.Store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": born,
	})
	c.Record("server %s of %s listed at %s", id, service, address)
}

// PutModelServer writes the row of a model server, which holds one adapter.
func (c *Cluster) PutModelServer(id, address string, born int64, adapter string) {
	c.Store.Put("servers", id, map[string]any{
		"service": "chat", "address": address, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": born,
		"models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{adapter + "@1"}}},
	})
	c.Record("server %s of chat listed at %s with adapter %s", id, address, adapter)
}
