package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// The present size of the fleet; see section 1.3 of docs/design.md.
const (
	domains      = 3
	models       = 20
	plainServers = 3
	entries      = 3
	adapters     = 3000
)

const (
	// zipfExponent is the exponent of the popularity of adapters; at 1.2 the 160 most popular of 3,000 get four fifths of the
	// requests.
	zipfExponent = 1.2
	// shiftedShare is the share of popularity ranks that get another adapter at the popularity shift.
	shiftedShare = 0.3
	// stickyShare is the share of an account's requests that the load balancer sends to one entry; the rest is spread evenly.
	stickyShare = 0.6
	// urgentShare is the share of generations in the higher priority class.
	urgentShare = 0.1
	// burstCycle is the time from one pause of the greedy account to the next.
	burstCycle = time.Minute
	// greedyRateFactor is the ratio of the rate at which the greedy account sends to its entitlement.
	greedyRateFactor = 5
	// usedShare is the mean share of their entitlement that the other accounts use.
	usedShare = 0.6
	// burstDuration is the burst of an account, expressed as the time in which its rate refills it.
	burstDuration = 10 * time.Second
	// plainCallRate is the number of calls to plain services a second of each account.
	plainCallRate = 0.2

	minPromptTokens, maxPromptTokens = 100, 500
	minOutputTokens, maxOutputTokens = 100, 700
	// outputTokenLimit is the maximum number of output tokens that requests set; it is debited on admission.
	outputTokenLimit = 768
	// meanGenerationTokens is the mean number of tokens that a generation uses.
	meanGenerationTokens = (minPromptTokens+maxPromptTokens)/2 + (minOutputTokens+maxOutputTokens)/2
	plainCallTokens      = 10

	generationTimeout = 60 * time.Second
	plainCallTimeout  = 2 * time.Second
)

// generationRates is the number of generations a second of each account that its entitlement covers; 10 in total.
var generationRates = [...]float64{3.5, 2.5, 2, 1, 1}

const greedyAccount = len(generationRates) - 1

// The streams of random numbers that are derived from one seed.
const (
	streamArrivals = iota + 1
	streamRandom
)

// arrival is a request as its client sends it.
type arrival struct {
	id      string
	at      time.Time
	account int
	entry   int
	// adapter is empty for a call to a plain service.
	adapter string
	class   int32
	prompt  int64
	// output is the number of tokens that the engine will produce; at most limit.
	output int64
	limit  int64
}

func (a *arrival) cost() int64       { return a.prompt + a.limit }
func (a *arrival) usedTokens() int64 { return a.prompt + a.output }

func (a *arrival) timeout() time.Duration {
	if a.adapter == "" {
		return plainCallTimeout
	}

	return generationTimeout
}

// accountRate returns the entitlement of an account in tokens per second.
func accountRate(account int) float64 {
	return (generationRates[account]*meanGenerationTokens + plainCallRate*plainCallTokens) / usedShare
}

func accountBurst(account int) int64 {
	return int64(accountRate(account) * burstDuration.Seconds())
}

// drawArrivals draws the requests of a whole run in the order of arrival.
func drawArrivals(plan Plan) []arrival {
	rng := rand.New(rand.NewPCG(plan.Seed, streamArrivals))
	popularity := rand.NewZipf(rng, zipfExponent, 1, adapters-1)
	ranksBefore := rng.Perm(adapters)
	ranksAfter := shiftPopularity(rng, ranksBefore)

	var list []arrival

	for account := range generationRates {
		poissonArrivals(rng, plan, generationRate(account), func(at time.Time) {
			if account == greedyAccount && at.Sub(startTime)%burstCycle < plan.GreedyPause {
				return
			}

			ranks := ranksBefore
			if !at.Before(plan.timeAt(plan.PopularityShift)) {
				ranks = ranksAfter
			}

			list = append(list, drawGeneration(rng, at, account, ranks[popularity.Uint64()]))
		})

		poissonArrivals(rng, plan, plainCallRate, func(at time.Time) {
			list = append(list, arrival{at: at, account: account, entry: chooseEntry(rng, account), class: 1, prompt: plainCallTokens})
		})
	}

	slices.SortFunc(list, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })

	for i := range list {
		list[i].id = strconv.Itoa(i)
	}

	return list
}

func generationRate(account int) float64 {
	if account == greedyAccount {
		return greedyRateFactor * accountRate(account) / meanGenerationTokens
	}

	return generationRates[account]
}

// poissonArrivals calls add with the times of Poisson arrivals.
func poissonArrivals(rng *rand.Rand, plan Plan, perSecond float64, add func(at time.Time)) {
	for at := startTime; ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if at.After(plan.timeAt(plan.End)) {
			return
		}

		add(at)
	}
}

func drawGeneration(rng *rand.Rand, at time.Time, account, adapter int) arrival {
	one := arrival{
		at:      at,
		account: account,
		entry:   chooseEntry(rng, account),
		adapter: "adapter" + strconv.Itoa(adapter),
		prompt:  minPromptTokens + rng.Int64N(maxPromptTokens-minPromptTokens),
		output:  minOutputTokens + rng.Int64N(maxOutputTokens-minOutputTokens),
		limit:   outputTokenLimit,
	}

	if rng.Float64() < urgentShare {
		one.class = 1
	}

	return one
}

func chooseEntry(rng *rand.Rand, account int) int {
	if rng.Float64() < stickyShare {
		return account % entries
	}

	return rng.IntN(entries)
}

// shiftPopularity swaps the adapters of a share of the ranks with those of random other ranks.
func shiftPopularity(rng *rand.Rand, ranks []int) []int {
	moved := slices.Clone(ranks)

	for i := range moved {
		if rng.Float64() < shiftedShare {
			j := rng.IntN(len(moved))
			moved[i], moved[j] = moved[j], moved[i]
		}
	}

	return moved
}
