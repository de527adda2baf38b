package engine

// Record is what an engine has seen, over all its boots.
type Record struct {
	// Requests is the number of accepted requests.
	Requests int64 `json:"requests"`
	// Loads is the number of adapters loaded.
	Loads int64 `json:"loads"`
	// EvictedRequests is the number of requests whose adapter was unloaded while they ran or waited.
	EvictedRequests int64 `json:"evictions"`
	// MaxColdRequests is the highest number of requests that a cold engine had after accepting one.
	MaxColdRequests int64 `json:"cold"`
	// FailedColdRequests is the number of requests that a collapsed engine failed.
	FailedColdRequests int64 `json:"failures"`
	// StaleOrders is the number of orders with an old fencing number that were carried out.
	StaleOrders int64 `json:"stale"`
	// Headers maps names of headers received over HTTP to their values.
	Headers map[string][]string `json:"headers"`
}

// Record returns what the engine has seen.
func (m *Server) Record() Record {
	m.mu.Lock()
	defer m.mu.Unlock()

	record := m.record
	record.Headers = m.headers.Values()

	return record
}
