package triage

const (
	// classShare is how often a kind of request or requests whose adapter is not loaded must be served at least, by how often all are, and
	// sizeShare how often the requests of a size must be, by how often the whole kind is. Both are above what callers are promised (a quarter
	// and a half), because a deficit is only made up some time later.
	classShare, sizeShare = 0.35, 0.6
	// urgentMargin is how much smaller the served share of a kind may be than that of a less urgent one, as callers are promised.
	urgentMargin = 0.02
	// urgentMinMissing is the number of served requests that a kind must lack beyond urgentMargin. One refused of ten is no deficit: otherwise each
	// refusal of a large prompt puts late requests of its kind before those on time.
	urgentMinMissing = 2
	// minOutcomes is the number of outcomes of a class below which it has no deficit.
	minOutcomes = 8
	// maxOutcomes is the number of outcomes after which all counts are halved, so that the latest ones count most.
	maxOutcomes = 512
	// quantileStep bounds the change of an estimated quantile with each request, as a share of it.
	quantileStep = 0.05
)

// sizeQuantiles divide the requests of a kind by size; the last class is the largest tenth. Smaller classes hold the requests before it to the
// same bound.
var sizeQuantiles = [...]float64{0.5, 0.7, 0.8, 0.9}

// Shares counts which of the requests in a queue were served, by urgency, by size and by whether their adapter was loaded, and determines which of
// these classes were served too seldom. The zero value is ready to use.
type Shares struct {
	all, fetched outcomes
	kinds        [maxUrgency + 1]kind
}

// kind counts the requests of one urgency.
type kind struct {
	outcomes

	// sizes counts the requests above the estimates of each of sizeQuantiles and up to the next one. limits are the estimates in prompt
	// tokens; 0 before the first request.
	sizes  [len(sizeQuantiles)]outcomes
	limits [len(sizeQuantiles)]float64
}

// outcomes counts requests that were served or refused, and those that were served.
type outcomes struct {
	ended, served float64
}

// Record counts the outcome of a request.
func (s *Shares) Record(work Work, served bool) {
	s.all.add(served)

	if work.Fetch {
		s.fetched.add(served)
	}

	s.kinds[urgencyClass(work.Urgency)].record(float64(work.Tokens), served)

	if s.all.ended >= maxOutcomes {
		s.halve()
	}
}

// Deficit returns how much less often than required requests like this one were served, as a part of the required share: 0 if there is no
// deficit, 1 if none was served.
func (s *Shares) Deficit(work Work) float64 {
	return s.deficit(work, minOutcomes)
}

// IsOwed reports whether requests like this one were served too seldom. Unlike Deficit, it counts from the first outcome of a kind or size on:
// one that is rare at this server may never have minOutcomes.
func (s *Shares) IsOwed(work Work) bool {
	return s.deficit(work, 1) > 0
}

// deficit is Deficit for classes with at least the given number of outcomes.
func (s *Shares) deficit(work Work, least float64) float64 {
	k := &s.kinds[urgencyClass(work.Urgency)]
	deficit := k.missing(classShare, &s.all, least)

	for i := urgencyClass(work.Urgency) + 1; i <= maxUrgency; i++ {
		deficit = max(deficit, k.behind(&s.kinds[i].outcomes))
	}

	if work.Fetch {
		deficit = max(deficit, s.fetched.missing(classShare, &s.all, least))
	}

	if size := k.size(float64(work.Tokens)); size >= 0 {
		deficit = max(deficit, k.sizes[size].missing(sizeShare, &k.outcomes, least))
	}

	return deficit
}

func (s *Shares) halve() {
	s.all.halve()
	s.fetched.halve()

	for i := range s.kinds {
		s.kinds[i].halve()

		for j := range s.kinds[i].sizes {
			s.kinds[i].sizes[j].halve()
		}
	}
}

func (k *kind) record(tokens float64, served bool) {
	k.add(served)

	if size := k.size(tokens); size >= 0 {
		k.sizes[size].add(served)
	}

	for i := range k.limits {
		k.limits[i] = moveQuantile(k.limits[i], sizeQuantiles[i], tokens)
	}
}

// size returns the index of the size class of a request; -1 for the smallest requests.
func (k *kind) size(tokens float64) int {
	for i := len(k.limits) - 1; i >= 0; i-- {
		if k.limits[i] > 0 && tokens > k.limits[i] {
			return i
		}
	}

	return -1
}

// moveQuantile moves the estimate of a quantile by a step that balances only at the quantile.
func moveQuantile(estimate, quantile, observed float64) float64 {
	switch {
	case estimate == 0:
		return observed
	case observed > estimate:
		return estimate * (1 + quantileStep*quantile)
	default:
		return estimate * (1 - quantileStep*(1-quantile))
	}
}

func (o *outcomes) add(served bool) {
	o.ended++

	if served {
		o.served++
	}
}

// missing returns by how much the served share is below the given part of that of all, as a part of the latter; 0 if it is not below
// or there are fewer outcomes than least.
func (o *outcomes) missing(part float64, all *outcomes, least float64) float64 {
	wanted := part * all.served * o.ended
	if o.ended < least || wanted == 0 {
		return 0
	}

	return max(1-o.served*all.ended/wanted, 0)
}

// behind returns by how much the served share is smaller than that of less urgent requests; 0 if it lacks fewer than urgentMinMissing
// beyond urgentMargin.
func (o *outcomes) behind(lessUrgent *outcomes) float64 {
	if o.ended < minOutcomes || lessUrgent.ended < minOutcomes {
		return 0
	}

	behind := lessUrgent.served/lessUrgent.ended - o.served/o.ended
	if (behind-urgentMargin)*o.ended < urgentMinMissing {
		return 0
	}

	return behind
}

func (o *outcomes) halve() {
	o.ended /= 2
	o.served /= 2
}
