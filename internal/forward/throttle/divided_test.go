package throttle_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// Guards against a server that gets twice its limit, because entries follow different lists of servers and choose two holders of the limit.
func TestSumOfTwoHoldersOfALimit(t *testing.T) {
	const (
		limit = 20.0
		// The pause after a limit was named first is over after begin.
		begin, period = 4 * time.Second, 8 * time.Second
	)

	cases := map[string]struct {
		// followers are the lists of the entries that are connected to each holder; the list of the first entry of each leads to it.
		followers [2][]uint64
		entries   int
	}{
		"list of one lacks the first": {[2][]uint64{{1, 1}, {2, 1, 1}}, 3},
		"each list lacks the other":   {[2][]uint64{{1, 1}, {2}}, 3},
		"two entries":                 {[2][]uint64{{1}, {2, 1}}, 2},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			granted := 0

			for i, lists := range c.followers {
				var followers agreement.Followers

				followers.Set(start.Add(-time.Minute), lists)

				holder := throttle.Holder{Followers: &followers}
				holder.Adopt(start, throttle.Statement{Server: "s", At: start, Limit: throttle.Limit{Named: true, Rate: limit}})

				for passed := time.Duration(0); passed < begin+period; passed += 10 * time.Millisecond {
					holder.Claim(start.Add(passed), "s", agreement.Claim{List: uint64(i + 1), Entries: c.entries})

					if ok, _ := holder.Take(start.Add(passed), "s", 0); ok && passed >= begin {
						granted++
					}
				}
			}

			assert.Check(t, float64(granted) <= limit*period.Seconds(), "%d requests", granted)
			assert.Check(t, float64(granted) >= 0.8*limit*period.Seconds(), "%d requests", granted)
		})
	}
}
