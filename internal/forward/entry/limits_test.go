package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/throttle"
)

// Guards against entries that each send half of the limit of a server, because no agent holds the limit or tells them of each other
// (LIMIT).
func TestEntriesWithoutHolderShareTheLimitOfAServer(t *testing.T) {
	const (
		entries = 8
		rate    = 2.0
		window  = 4 * time.Second
	)

	cases := map[string]func(after time.Duration) int{
		"number not known": func(time.Duration) int { return 0 },
		"number known":     func(time.Duration) int { return entries },
		"number known late": func(after time.Duration) int {
			if after < time.Second {
				return 1
			}

			return entries
		},
	}

	for name, known := range cases {
		t.Run(name, func(t *testing.T) {
			var (
				knowledge [entries]limits
				sent      []time.Time
			)

			begin := time.Unix(1000, 0)
			stated := throttle.Statement{Server: "p", StartedAt: 1, Limit: throttle.Limit{Named: true, Rate: rate}, At: begin}

			for after := time.Duration(0); after < 20*time.Second; after += 20 * time.Millisecond {
				for i := range knowledge {
					now := begin.Add(after)
					knowledge[i].adopt(now, stated)

					if knowledge[i].takeReserve(now, "p", known(after)) {
						sent = append(sent, now)
					}
				}
			}

			const allowed = 1.5*rate*4 + 5

			for after := window; after < 20*time.Second; after += 20 * time.Millisecond {
				assert.Assert(t, countWithin(sent, begin.Add(after), window) <= allowed)
			}
		})
	}
}
