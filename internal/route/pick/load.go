package pick

import "time"

// reportLifetime is how long a load report is valid. After it expires, a server that was busy receives one probe request,
// whose response carries a new report, and counts as busy for another reportLifetime. Where requests queue, responses begin
// late, and without this each entry would send all its requests there in the meantime.
const reportLifetime = 2 * time.Second

// queueDivisor divides a server's limit to give the number of requests that may wait there for a resident adapter.
const queueDivisor = 2

// Load is an agent's report about its backend server.
type Load struct {
	Running int
	Queued  int
	// Limit is the concurrency limit; if it is 0, the load counts as unknown.
	Limit    int
	Draining bool
	// ResidentEpoch grows with each change of Resident.
	ResidentEpoch int64
	// Resident lists the resident adapters as adapter@version; it is valid only if ResidentSent is set.
	Resident     []string
	ResidentSent bool
}

// loadState is the last known load and residency of one backend server. It is guarded by the Picker's mutex. It is small,
// because a choice among busy servers reads many of them.
type loadState struct {
	// expiresAt is the time at which the load report expires, in Unix nanoseconds.
	expiresAt int64
	// requests is the number of requests at the server: those in the report, and those sent to it since.
	requests         int
	limit            int
	drainingReported bool
	resident         map[string]struct{}
	// epoch is the ResidentEpoch of resident.
	epoch int64
}

// report replaces the state by a new report; the resident adapters stay if the report lacks them.
func (s *loadState) report(load Load, now time.Time) {
	if load.ResidentSent {
		s.epoch = load.ResidentEpoch
		s.resident = make(map[string]struct{}, len(load.Resident))

		for _, name := range load.Resident {
			s.resident[name] = struct{}{}
		}
	}

	s.expiresAt = now.Add(reportLifetime).UnixNano()
	s.requests = load.Running + load.Queued
	s.limit = load.Limit
	s.drainingReported = load.Draining
}

// recordSent counts a request that is sent to the server. If the report has expired, the request is a probe, and the report
// is valid for another reportLifetime.
func (s *loadState) recordSent(now time.Time) {
	s.requests++

	if s.limit > 0 && now.UnixNano() >= s.expiresAt {
		s.expiresAt = now.Add(reportLifetime).UnixNano()
	}
}

func (s *loadState) hasResident(adapter string) bool {
	_, ok := s.resident[adapter]
	return ok
}

// reportValid reports whether there is a load report that has not expired.
func (s *loadState) reportValid(now int64) bool {
	return now < s.expiresAt && s.limit > 0
}

// hasRoom reports whether the server can probably run a request without queueing it; it is true if the load is unknown.
func (s *loadState) hasRoom(now int64) bool {
	return !s.draining(now) && (!s.reportValid(now) || s.requests < s.limit)
}

// hasShortQueue reports whether a request for a resident adapter waits a short time at most, which costs less than loading
// the adapter at another server.
func (s *loadState) hasShortQueue(now int64) bool {
	return !s.draining(now) && (!s.reportValid(now) || s.requests < s.limit+(s.limit+1)/queueDivisor)
}

// utilization returns the number of requests at the server divided by its limit; 0 if the load is unknown.
func (s *loadState) utilization(now int64) float64 {
	if !s.reportValid(now) {
		return 0
	}

	return float64(s.requests) / float64(s.limit)
}

func (s *loadState) draining(now int64) bool {
	return now < s.expiresAt && s.drainingReported
}
