package triage

import (
	"math"
	"slices"
	"time"
)

const (
	// maxUrgency is the least urgent class that is told apart; all less urgent requests count as it.
	maxUrgency = 9
	// onTimeHysteresis is how much earlier than its due time a displaced request must be able to start before it counts as on time again, so that
	// small changes of the pace don't change its standing with each decision.
	onTimeHysteresis = 30 * time.Millisecond
	// urgentReserve is the time that a request has left at its start at least if a less urgent one goes before it: a transient slowdown of half a second
	// at 2.5 times the usual delays it by as much.
	urgentReserve = 300 * time.Millisecond
	// outputWeight is the value of an output token to callers, in prompt tokens.
	outputWeight = 10
	// resumedGain multiplies the gain of a request that continues a stream: what was spent on the first part is lost if it is not served.
	resumedGain = 2
)

// Candidate is a request in the queue of a server that prefills one prompt at a time. Work.Due and Work.Expires are the latest times of its start.
type Candidate struct {
	Work Work
	// Prefill is the time from its start to its first event at the present pace, and Usual that at the usual pace of the server.
	Prefill, Usual time.Duration
	// Ready is the time until it can start at the earliest, because its adapter has to be loaded.
	Ready time.Duration
	// Displaced is true if the previous plan displaced the request.
	Displaced bool
	// Underserved is true if requests of its kind or size are starved; it goes first.
	Underserved bool
}

// Busy is the time for which a server still prefills prompts that it has begun, at its present and at its usual pace.
type Busy struct {
	Present, Usual time.Duration
}

// Standing is what a plan expects of a request.
type Standing int

// The standings of a request.
const (
	// OnTime means that the request is expected to start in time for an event that is on time.
	OnTime Standing = iota
	// Late means that the request can no longer be on time, and starts when there is capacity.
	Late
	// Displaced means that the request could be on time alone, but is delayed in favor of others.
	Displaced
	// Infeasible means that the request can't start before it expires, and is refused.
	Infeasible
)

// Turn is the place of a request in the order of service.
type Turn struct {
	// Index is that of the candidate.
	Index    int
	Standing Standing
	// Start is the expected time until its start.
	Start time.Duration
	// RetryAfter is the time until the work that goes before a new request of the same urgency is done; it is set for Infeasible.
	RetryAfter time.Duration
}

// MarkUnderserved marks the candidate with the largest deficit; none if there is no deficit or no other candidate. The deficits of the others are
// made up by later plans, so that each plan delays requests that could be on time by one prompt only.
func MarkUnderserved(candidates []Candidate, shares *Shares) {
	most, at := 0.0, -1

	for i := range candidates {
		if deficit := shares.Deficit(candidates[i].Work); deficit > most {
			most, at = deficit, i
		}
	}

	if at >= 0 && len(candidates) > 1 {
		candidates[at].Underserved = true
	}
}

// Queue plans the order of service. It keeps its memory between plans; the zero value is ready to use.
type Queue struct {
	// jobs holds a job for each candidate. order, set and dropped hold indexes of jobs: all by deadline, those that are served in time, and those
	// that are served after them.
	jobs                []job
	order, set, dropped []int
	turns               []Turn
	// ranked is the work of the jobs in the set, by rank.
	ranked [2*maxUrgency + 3]time.Duration
}

// job is a candidate during a plan. All times are relative to the plan.
type job struct {
	// rank decides which request is dropped if not all can be served in time: the one with the highest rank. place decides about the order of
	// those that are.
	rank, place int
	standing    Standing
	// last is the latest start, and deadline the time by which the requests are ordered.
	last, deadline time.Duration
	work, ready    time.Duration
	// expires is the time until the request expires.
	expires time.Duration
	// slack is how much later the job could start.
	slack time.Duration
	// cost is the work of the job divided by its gain to callers.
	cost float64
}

// Plan returns the order in which the candidates are served, and the expected standing of each. Requests of equal standing keep the order of their
// due times, and those of equal due times that of the candidates. The result is valid until the next plan.
//
// The set of requests that are served in time is that of Moore and Hodgson's algorithm for the fewest late jobs on one processor, with
// urgency as weight: requests are taken by due time, and when one would be late, the least urgent ones leave the set, or the
// one of its urgency with the most work for its gain.
// A request that can't be on time is planned with its expiry in place of its due time, and ranks after those of its urgency that can.
func (q *Queue) Plan(now time.Time, busy Busy, candidates []Candidate) []Turn {
	q.begin(now, busy, candidates)
	q.choose(busy)
	q.promote(busy)
	q.set = append(q.set, q.dropped...)
	q.assess(busy, candidates)

	return q.turns
}

// begin fills the jobs and orders them by deadline.
func (q *Queue) begin(now time.Time, busy Busy, candidates []Candidate) {
	q.jobs, q.order, q.set, q.dropped, q.turns = q.jobs[:0], q.order[:0], q.set[:0], q.dropped[:0], q.turns[:0]
	q.ranked = [len(q.ranked)]time.Duration{}

	for i := range candidates {
		q.jobs = append(q.jobs, newJob(now, busy, &candidates[i]))
		q.order = append(q.order, i)
	}

	slices.SortFunc(q.order, q.compareDeadlines)
}

func (q *Queue) compareDeadlines(a, b int) int {
	first, second := q.jobs[a].deadline, q.jobs[b].deadline

	switch {
	case first < second:
		return -1
	case first > second:
		return 1
	default:
		return a - b
	}
}

func newJob(now time.Time, busy Busy, c *Candidate) job {
	urgency := urgencyClass(c.Work.Urgency)
	expires := c.Work.Expires.Sub(now)
	// A request without a target is due only at its deadline, after which it can't start any more.
	due := min(c.Work.Due.Sub(now), expires)
	added := job{work: c.Prefill, ready: c.Ready, cost: cost(c), expires: expires}

	reserve := time.Duration(0)
	if c.Displaced {
		reserve = onTimeHysteresis
	}

	if max(busy.Present, c.Ready)+reserve <= due {
		added.rank, added.place = 2*urgency+1, urgency+1
		added.last, added.deadline = due, due+c.Prefill
	} else {
		added.standing = Late
		added.rank, added.place = 2*urgency+2, maxUrgency+2+urgency
		added.last, added.deadline = added.expires, added.expires

		if c.Work.Resumed {
			added.rank--
		}
	}

	if c.Underserved {
		added.rank, added.place, added.deadline = 0, 0, math.MinInt64
	}

	return added
}

func urgencyClass(urgency int) int {
	return min(max(urgency, 0), maxUrgency)
}

// cost returns the work of a request divided by its gain to callers, which increases with its size.
func cost(c *Candidate) float64 {
	gain := float64(c.Work.Tokens + outputWeight*c.Work.Output)
	if c.Work.Resumed {
		gain *= resumedGain
	}

	return float64(c.Prefill) / max(gain, 1)
}

// choose divides the jobs into the set of those that are served in time and the dropped ones.
func (q *Queue) choose(busy Busy) {
	end := busy.Present

	for _, index := range q.order {
		next := &q.jobs[index]

		if max(busy.Present, next.ready) > next.last {
			q.drop(index)
			continue
		}

		excess := end - next.last

		switch {
		case excess <= 0:
		case q.lessUrgentWork(next.rank) >= excess:
			end -= q.dropLessUrgent(next.rank, excess)
		default:
			victim := q.costliest(next, excess)
			if victim < 0 {
				q.drop(index)
				continue
			}

			end -= q.dropAt(victim)
		}

		q.set = append(q.set, index)
		q.ranked[next.rank] += next.work
		end += next.work
	}
}

// lessUrgentWork returns the work in the set with a higher rank.
func (q *Queue) lessUrgentWork(rank int) time.Duration {
	sum := time.Duration(0)
	for _, work := range q.ranked[rank+1:] {
		sum += work
	}

	return sum
}

// dropLessUrgent drops jobs with a higher rank, the highest first, until the excess is gone. It returns the dropped work.
func (q *Queue) dropLessUrgent(rank int, excess time.Duration) time.Duration {
	freed := time.Duration(0)

	for freed < excess {
		victim := -1

		for i, index := range q.set {
			if q.jobs[index].rank > rank && (victim < 0 || q.dropsBefore(index, q.set[victim])) {
				victim = i
			}
		}

		freed += q.dropAt(victim)
	}

	return freed
}

// dropsBefore reports whether job a leaves the set before job b.
func (q *Queue) dropsBefore(a, b int) bool {
	first, second := &q.jobs[a], &q.jobs[b]
	if first.rank != second.rank {
		return first.rank > second.rank
	}

	return first.cost >= second.cost
}

// costliest returns the position in the set of the job with the rank of next, at least as much work as the excess, and the highest cost; -1 if
// none costs more than next.
func (q *Queue) costliest(next *job, excess time.Duration) int {
	victim, highest := -1, next.cost

	for i, index := range q.set {
		other := &q.jobs[index]
		if other.rank == next.rank && other.work >= excess && other.cost > highest {
			victim, highest = i, other.cost
		}
	}

	return victim
}

// dropAt drops the job at a position in the set and returns its work.
func (q *Queue) dropAt(position int) time.Duration {
	index := q.set[position]
	victim := &q.jobs[index]

	q.ranked[victim.rank] -= victim.work
	q.set = slices.Delete(q.set, position, position+1)
	q.drop(index)

	return victim.work
}

// drop inserts a job into those that are served after the set, ordered by urgency and then by deadline.
func (q *Queue) drop(index int) {
	victim := &q.jobs[index]
	if victim.standing == OnTime {
		victim.standing = Displaced
		victim.rank++
	}

	q.dropped = append(q.dropped, index)

	for i := len(q.dropped) - 1; i > 0 && q.comesBefore(q.dropped[i], q.dropped[i-1]); i-- {
		q.dropped[i-1], q.dropped[i] = q.dropped[i], q.dropped[i-1]
	}
}

func (q *Queue) comesBefore(a, b int) bool {
	if q.jobs[a].rank != q.jobs[b].rank {
		return q.jobs[a].rank < q.jobs[b].rank
	}

	return q.compareDeadlines(a, b) < 0
}

// promote moves the more urgent jobs of the set before less urgent ones, and those on time before late ones, as far as no job of the set
// then starts too late.
func (q *Queue) promote(busy Busy) {
	end := busy.Present

	for i, index := range q.set {
		next := &q.jobs[index]
		next.slack = next.last - max(end, next.ready)
		end += next.work

		for j := i; j > 0; j-- {
			other := &q.jobs[q.set[j-1]]
			if next.place >= other.place || next.work > other.slack && (next.slack >= urgentReserve || next.standing == Late) {
				break
			}

			other.slack -= next.work
			next.slack += other.work
			q.set[j-1], q.set[j] = q.set[j], q.set[j-1]
		}
	}
}

// assess fills the turns. A request is infeasible if it expires before the prompts that go before it are prefilled at the usual pace, because a
// transient slowdown may be over soon.
func (q *Queue) assess(busy Busy, candidates []Candidate) {
	end, certain := busy.Present, min(busy.Usual, busy.Present)

	var work [maxUrgency + 1]time.Duration

	for _, index := range q.set {
		next := &q.jobs[index]
		c := &candidates[index]
		turn := Turn{Index: index, Standing: next.standing, Start: max(end, next.ready)}

		if turn.Standing == OnTime && turn.Start > next.last {
			turn.Standing = Displaced
		}

		if certain > next.expires {
			turn.Standing = Infeasible
		} else {
			end += next.work
			certain += min(c.Usual, c.Prefill)
			work[urgencyClass(c.Work.Urgency)] += next.work
		}

		q.turns = append(q.turns, turn)
	}

	for i := range q.turns {
		if q.turns[i].Standing == Infeasible {
			q.turns[i].RetryAfter = retryAfter(busy, &candidates[q.turns[i].Index], &work)
		}
	}
}

// retryAfter returns the time until the work that goes before a request of the same urgency is done.
func retryAfter(busy Busy, c *Candidate, work *[maxUrgency + 1]time.Duration) time.Duration {
	after := busy.Present
	for urgency := range urgencyClass(c.Work.Urgency) + 1 {
		after += work[urgency]
	}

	return max(after, c.Prefill)
}
