package engine

// Record holds the counters of an engine since it was created; a restart does not reset them.
type Record struct {
	// Requests is the number of accepted requests.
	Requests int64 `json:"requests"`
	// Loads is the number of adapters loaded.
	Loads int64 `json:"loads"`
	// EvictedRequests is the number of requests whose adapter was unloaded while they ran or waited.
	EvictedRequests int64 `json:"evictions"`
	// MaxColdRequests is the highest number of outstanding requests of a cold engine, right after it accepted one.
	MaxColdRequests int64 `json:"cold"`
	// FailedColdRequests is the number of requests that a cold engine failed because it was overloaded.
	FailedColdRequests int64 `json:"failures"`
	// StaleOrders is the number of orders with an old fencing number that were carried out.
	StaleOrders int64 `json:"stale"`
	// Headers maps names of headers received over HTTP to their values.
	Headers map[string][]string `json:"headers"`
}

// Record returns the counters and the headers received.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()

	record := s.record
	record.Headers = s.headers.Values()

	return record
}
