package schedule

// Policy says what a server does at once and in which order. The zero value stands for Default; else its counts are positive.
type Policy struct {
	// Readers is the number of requests whose prompts the server reads at once. Prompts are read between the output
	// tokens of running requests, so that more of them would make the pauses of running streams too long.
	MaxPrefills int
	// Fetches is the number of adapters that a server fetches from the weight store at once. The store slows down when
	// many are fetched over all servers, and requests that wait too long for theirs would cause further fetches elsewhere.
	MaxFetches int
	// Arrival keeps the order of arrival also for requests that can no longer be on time.
	KeepArrivalOrder bool
}

// Default is the policy of agents.
var DefaultPolicy = Policy{MaxPrefills: 1, MaxFetches: 1}
