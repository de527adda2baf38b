// Package pace estimates how fast one model server works: how long it takes to prefill a prompt, and how long its streams take from one event
// to the next. Servers share their VMs with others, so that they differ permanently, and each may be slow for short times.
package pace

import (
	"slices"
	"time"
)

const (
	// Usual is the slowness of a server that works as fast as usual, in percent.
	Usual = 100
	// freshTime is how long a statement of the slowness counts in full, and staleTime is the age from which it no longer counts. Transient
	// slowdowns last for about half a second, so that an older statement predicts less than the usual value.
	freshTime = 100 * time.Millisecond
	staleTime = 500 * time.Millisecond
	// statementCount is the number of statements whose lowest is what is usual for the server.
	statementCount = 16
	// averageShare is the weight of one more observation in an average.
	averageShare = 0.1
	// minPromptTokens is the size below which a prompt tells little about the speed of prefill.
	minPromptTokens = 200
	// defaultOverhead is the time from the send of a request to its first event that does not depend on the prompt, as long as it is not known:
	// about one step of the server. maxOverhead is above what it takes at any server.
	defaultOverhead = 12 * time.Millisecond
	maxOverhead     = 100 * time.Millisecond
	// defaultTokenTime is the prefill time of one prompt token, and defaultEventTime the time between two events, as long as nothing is known.
	// minTokenTime is below what it takes at any server: small prompts whose pace varies do not determine it, and the fit may be 0.
	defaultTokenTime = 50 * time.Microsecond
	minTokenTime     = defaultTokenTime / 5
	defaultEventTime = 50 * time.Millisecond
)

// Estimator estimates the pace of one server. The zero value is ready to use. It is not safe for concurrent use.
type Estimator struct {
	// prefills has the times of requests to their first events, in nanoseconds, by the tokens of their prompts. overhead and tokenTime are what it
	// tells, and eventTime is an average; all are at the slowness of 100 percent, and 0 as long as nothing was observed.
	prefills                       line
	overhead, tokenTime, eventTime time.Duration
	// chunks is what is known about events during a prefill.
	chunks chunks
	// fastestEvent is the time between two events at the fastest pace of the server.
	fastestEvent fastestEvent
	// statements are the latest ones of the slowness in percent, and statedAt is when the last one was made.
	statements []int
	statedAt   time.Time
}

// ObserveSlowness records a statement of the server: how long work takes at this moment in percent of what is usual for servers of its kind.
func (e *Estimator) ObserveSlowness(now time.Time, percent int) {
	if percent <= 0 {
		return
	}

	if len(e.statements) == statementCount {
		e.statements = slices.Delete(e.statements, 0, 1)
	}

	e.statements = append(e.statements, percent)
	e.statedAt = now
}

// ObservePrefill records the time from the send of a request to its first event.
func (e *Estimator) ObservePrefill(now time.Time, tokens int64, took time.Duration) {
	if tokens < minPromptTokens {
		return
	}

	e.prefills.observe(float64(tokens), float64(e.normalize(now, took)))

	overhead, perToken := e.prefills.fit(float64(defaultOverhead), float64(maxOverhead))
	e.overhead, e.tokenTime = time.Duration(overhead), max(time.Duration(perToken), minTokenTime)
}

// ObserveEvent records the time between two events of a stream in which the server prefilled no prompt.
func (e *Estimator) ObserveEvent(now time.Time, took time.Duration) {
	e.eventTime = average(e.eventTime, e.normalize(now, took))
	e.fastestEvent.observe(now, took)
}

// Slowness returns how long work is expected to take now, in percent of what is usual for servers of its kind.
func (e *Estimator) Slowness(now time.Time) int {
	if len(e.statements) == 0 {
		return Usual
	}

	return Age(e.statements[len(e.statements)-1], e.usual(), now.Sub(e.statedAt))
}

// Age returns the slowness that is expected from a statement of the given age, if the server is usually as slow as stated by usual.
func Age(stated, usual int, age time.Duration) int {
	switch {
	case age <= freshTime:
		return stated
	case age >= staleTime:
		return usual
	}

	share := float64(staleTime-age) / float64(staleTime-freshTime)

	return usual + int(share*float64(stated-usual))
}

// Rate returns how many prompt tokens the server usually prefills in a second; 0 if none was observed. A server that is permanently slow has a
// low rate.
func (e *Estimator) Rate() float64 {
	if e.tokenTime == 0 {
		return 0
	}

	return float64(time.Second) / float64(e.tokenTime) * Usual / float64(e.usual())
}

// Stated returns the latest statement of the slowness, in percent of what is usual for this server, and its age; 0 if there is none.
func (e *Estimator) Stated(now time.Time) (percent int, age time.Duration) {
	if len(e.statements) == 0 {
		return 0, 0
	}

	latest := e.statements[len(e.statements)-1]

	return max(latest*Usual/e.usual(), 1), now.Sub(e.statedAt)
}

// usual returns the slowness that is usual for the server, in percent of what is usual for servers of its kind.
func (e *Estimator) usual() int {
	if len(e.statements) == 0 {
		return Usual
	}

	return slices.Min(e.statements)
}

// PrefillTime returns the expected time from the send of a request with a prompt of the given size to its first event.
func (e *Estimator) PrefillTime(now time.Time, tokens int64) time.Duration {
	return e.Prefill(now).Time(tokens)
}

// EventTime returns the expected time between two events of a stream while no prompt is prefilled.
func (e *Estimator) EventTime(now time.Time) time.Duration {
	if e.eventTime == 0 {
		return e.scale(now, defaultEventTime)
	}

	return e.scale(now, e.eventTime)
}

// scale converts a duration at the usual pace to the one that is expected now.
func (e *Estimator) scale(now time.Time, at time.Duration) time.Duration {
	return at * time.Duration(e.Slowness(now)) / Usual
}

// normalize converts a duration that was observed now to the one at the usual pace.
func (e *Estimator) normalize(now time.Time, took time.Duration) time.Duration {
	return took * Usual / time.Duration(e.Slowness(now))
}

func average(known, observed time.Duration) time.Duration {
	if known == 0 {
		return observed
	}

	return known + time.Duration(averageShare*float64(observed-known))
}
