package engine

// Record is what an engine has seen, over all its boots.
type Record struct {
	// Requests is the number of accepted requests.
	Requests int64 `json:"requests"`
	// Loads is the number of adapters loaded.
	Loads int64 `json:"loads"`
	// Evictions is the number of requests whose adapter was unloaded while they ran or waited.
	Evictions int64 `json:"evictions"`
	// ColdHighest is the highest number of requests that a cold engine had after accepting one.
	ColdHighest int64 `json:"cold"`
	// ColdFailures is the number of requests that a collapsed engine failed.
	ColdFailures int64 `json:"failures"`
	// Stale is the number of orders with an old fencing number that were carried out.
	Stale int64 `json:"stale"`
	// Headers maps names of headers received over HTTP to their values.
	Headers map[string][]string `json:"headers"`
}

// Record returns what the engine has seen.
func (m *Model) Record() Record {
	m.mu.Lock()
	defer m.mu.Unlock()

	record := m.record
	record.Headers = m.headers.Values()

	return record
}
