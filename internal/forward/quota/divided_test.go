package quota_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
)

// dividedHolder is one of several holders of an account that entries with different lists have chosen.
type dividedHolder struct {
	mu        sync.Mutex
	holder    quota.Holder
	followers agreement.Followers
}

// listGranter requests tokens from the holder that an entry has chosen by its list.
type listGranter struct {
	chosen *dividedHolder
	claim  agreement.Claim
}

// Grant implements quota.Granter.
func (g *listGranter) Grant(_ context.Context, account string, wanted float64) (float64, bool) {
	g.chosen.mu.Lock()
	defer g.chosen.mu.Unlock()

	return g.chosen.holder.Take(time.Now(), account, wanted, quota.Tenure{Age: time.Hour, Claim: g.claim}), true
}

// Guards against an account that gets its rate and its burst twice, because entries follow different lists of servers for whatever reason and
// choose two holders: it had 179,000 tokens in 8 s where 110,000 were allowed. What a holder grants may not fall if all choose it.
func TestSumOfTwoHolders(t *testing.T) {
	const (
		window  = 8 * time.Second
		callers = 4
	)

	cases := map[string]struct {
		// lists are those of the entries; list 1 leads to the first holder, and list 2 to the second one.
		lists []uint64
		// connected are the entries that are connected to each holder: one whose list lacks its server is not.
		connected [2][]uint64
		// least is the share of the rate that is to be granted at least.
		least float64
	}{
		"one list":                          {[]uint64{1, 1, 1, 1, 1}, [2][]uint64{{1, 1, 1, 1, 1}, nil}, 0.95},
		"list of one lacks the first":       {[]uint64{2, 1, 1, 1, 1}, [2][]uint64{{1, 1, 1, 1}, {2, 1, 1, 1, 1}}, 0.95},
		"lists of most lack the first":      {[]uint64{2, 2, 2, 2, 1}, [2][]uint64{{1}, {2, 2, 2, 2, 1}}, 0.95},
		"two entries":                       {[]uint64{2, 1}, [2][]uint64{{1}, {2, 1}}, 0.95},
		"each list lacks the other":         {[]uint64{2, 2, 1, 1, 1}, [2][]uint64{{1, 1, 1}, {2, 2}}, 0.95},
		"two entries, each lacks the other": {[]uint64{2, 1}, [2][]uint64{{1}, {2}}, 0.95},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				holders := [2]*dividedHolder{{}, {}}

				for i, h := range holders {
					h.followers.Set(time.Now(), c.connected[i])
					h.holder.Followers = &h.followers
					h.holder.Set(time.Now(), "acme", rate, burst)
					h.holder.SetEntries(time.Now(), len(c.lists), len(c.connected[i]))
				}
				// Both buckets are full.
				time.Sleep(2 * burst / rate * time.Second)

				var (
					group sync.WaitGroup
					taken atomic.Int64
				)

				started := time.Now()

				for _, list := range c.lists {
					granter := &listGranter{chosen: holders[list-1], claim: agreement.Claim{List: list, Entries: len(c.lists)}}
					entry := &quota.Limiter{Granter: granter, Entries: func() int { return len(c.lists) }}

					for range callers {
						group.Go(func() {
							for ; time.Since(started) < window; time.Sleep(10 * time.Millisecond) {
								if entry.Take(t.Context(), "acme", rate, burst, cost) == nil && time.Since(started) <= window {
									taken.Add(cost)
								}
							}
						})
					}
				}

				group.Wait()

				allowed := rate*window.Seconds() + burst
				assert.Check(t, float64(taken.Load()) <= allowed, "%d tokens, %.0f are allowed", taken.Load(), allowed)
				assert.Check(t, float64(taken.Load()) >= c.least*rate*window.Seconds(), "%d tokens of %.0f", taken.Load(), allowed)
			})
		})
	}
}
