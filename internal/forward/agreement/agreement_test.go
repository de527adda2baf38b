package agreement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
)

// Guards against a holder that grants the part of entries which may have chosen another holder, and against one that withholds anything while all
// have chosen it, whichever list they follow.
func TestPartOfTheEntries(t *testing.T) {
	cases := map[string]struct {
		// lists are those of the connected entries, and claims those that the holder has got, the last one being judged.
		lists  []uint64
		claims []agreement.Claim
		want   agreement.Part
		share  float64
	}{
		"all the same":               {[]uint64{1, 1, 1}, []agreement.Claim{{List: 1, Entries: 3}}, agreement.Part{Alive: 3}, 1},
		"one differs":                {[]uint64{1, 1, 1, 2}, []agreement.Claim{{List: 1, Entries: 4}}, agreement.Part{Alive: 4, Others: 1}, 0.75},
		"only one":                   {[]uint64{1, 1, 1, 2}, []agreement.Claim{{List: 2, Entries: 4}}, agreement.Part{Alive: 4, Others: 3}, 0.25},
		"both lists choose it":       {[]uint64{1, 1, 1, 2}, []agreement.Claim{{List: 1, Entries: 4}, {List: 2, Entries: 4}}, agreement.Part{Alive: 4}, 1},
		"others not connected":       {[]uint64{1}, []agreement.Claim{{List: 1, Entries: 5}}, agreement.Part{Alive: 5, Others: 4}, 0.2},
		"not connected itself":       {[]uint64{1, 1}, []agreement.Claim{{List: 2, Entries: 3}}, agreement.Part{Alive: 3, Others: 2}, 1.0 / 3},
		"none connected":             {nil, []agreement.Claim{{List: 2}}, agreement.Part{Alive: 1}, 1},
		"some state no list":         {[]uint64{1, 0, 0}, []agreement.Claim{{List: 1, Entries: 3}}, agreement.Part{Alive: 3}, 1},
		"claim states no list":       {[]uint64{1, 2, 2}, []agreement.Claim{{Entries: 3}}, agreement.Part{}, 1},
		"all have changed their way": {[]uint64{2, 2}, []agreement.Claim{{List: 1, Entries: 2}, {List: 2, Entries: 2}}, agreement.Part{Alive: 2}, 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var (
				followers agreement.Followers
				claimants agreement.Claimants
				part      agreement.Part
			)

			now := time.Unix(1000, 0)
			followers.Set(now, c.lists)

			now = now.Add(time.Second)

			for _, claim := range c.claims {
				part = claimants.Add(now, claim, &followers)
			}

			assert.Equal(t, part, c.want)
			assert.Equal(t, part.Share(), c.share)
		})
	}
}

// Guards against accounts whose rate falls after each restart, because entries that are about to connect count as entries with another holder, and
// against an entry that takes from no holder and counts as one that takes from another.
func TestEntriesThatTakeNothing(t *testing.T) {
	const none = agreement.NoHolder

	cases := map[string]struct {
		lists []uint64
		// settled is the time since the number of connected entries changed.
		settled time.Duration
		claim   agreement.Claim
		want    agreement.Part
	}{
		"others are about to connect":  {[]uint64{1}, 500 * time.Millisecond, agreement.Claim{List: 1, Entries: 5}, agreement.Part{Alive: 1}},
		"others do not connect":        {[]uint64{1}, time.Second, agreement.Claim{List: 1, Entries: 5}, agreement.Part{Alive: 5, Others: 4}},
		"another list, just read":      {[]uint64{1, 2}, 500 * time.Millisecond, agreement.Claim{List: 1, Entries: 2}, agreement.Part{Alive: 2}},
		"another list":                 {[]uint64{1, 2}, time.Second, agreement.Claim{List: 1, Entries: 2}, agreement.Part{Alive: 2, Others: 1}},
		"one takes from no holder":     {[]uint64{1, 1, none}, time.Second, agreement.Claim{List: 1, Entries: 3}, agreement.Part{Alive: 2}},
		"one takes from none, another": {[]uint64{1, 2, none}, time.Second, agreement.Claim{List: 1, Entries: 3}, agreement.Part{Alive: 2, Others: 1}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var (
				followers agreement.Followers
				claimants agreement.Claimants
			)

			now := time.Unix(1000, 0)
			followers.Set(now, c.lists)
			assert.Equal(t, claimants.Add(now.Add(c.settled), c.claim, &followers), c.want)
		})
	}
}

// Guards against memory that grows with each list by which a holder was ever chosen.
func TestOldClaimsAreForgotten(t *testing.T) {
	var (
		followers agreement.Followers
		claimants agreement.Claimants
	)

	now := time.Unix(1000, 0)
	followers.Set(now, []uint64{1, 1})

	for list := uint64(1); list <= 100; list++ {
		claimants.Add(now, agreement.Claim{List: list, Entries: 2}, &followers)
	}

	followers.Set(now, []uint64{2, 100})
	assert.Equal(t, claimants.Add(now.Add(time.Second), agreement.Claim{List: 100, Entries: 2}, &followers), agreement.Part{Alive: 2, Others: 1})
}

// Guards against entries that state no list, as with earlier software, which count as a list of their own.
func TestNumberOfLists(t *testing.T) {
	cases := map[string]struct {
		lists []uint64
		want  int
	}{
		"none":       {nil, 0},
		"not stated": {[]uint64{0, 0}, 0},
		"one":        {[]uint64{1, 0, 1}, 1},
		"two":        {[]uint64{1, 0, 2}, 2},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var followers agreement.Followers
			followers.Set(time.Unix(1000, 0), c.lists)
			assert.Equal(t, followers.Lists(), c.want)
		})
	}
}
