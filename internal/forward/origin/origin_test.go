package origin_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
)

// Guards against a version that is taken from a row of an earlier process under the same id (ORDER).
func TestVersionOfARowCountsForItsOwnProcessOnly(t *testing.T) {
	cases := map[string]struct {
		listedAt, ranAt int64
		want            origin.Begin
	}{
		"same process":             {5, 5, origin.Begin{Server: "i", StartedAt: 5, Version: "v1", Known: true}},
		"restarted under the id":   {5, 9, origin.Begin{Server: "i", StartedAt: 9}},
		"start of the run unknown": {5, 0, origin.Begin{Server: "i", StartedAt: 5, Version: "v1", Known: true}},
		"row names no start":       {0, 9, origin.Begin{Server: "i", StartedAt: 9, Version: "v1", Known: true}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, origin.Of("i", "v1", c.listedAt, c.ranAt), c.want)
		})
	}
}

// Guards against a version that counts as the only one although an entry has seen another one, or none has seen all (ORDER).
func TestHistory(t *testing.T) {
	type statement struct {
		versions []string
		complete bool
		// entry is that which states it, and after the time since the statement before.
		entry string
		after time.Duration
	}

	cases := map[string]struct {
		stated []statement
		sole   bool
	}{
		"nothing":                        {},
		"all of one version":             {[]statement{{[]string{"v1"}, true, "a", 0}}, true},
		"not all are known":              {[]statement{{[]string{"v1"}, false, "a", 0}}, false},
		"two versions":                   {[]statement{{[]string{"v1", "v2"}, true, "a", 0}}, false},
		"an entry that started sees two": {[]statement{{[]string{"v1"}, true, "a", 0}, {[]string{"v1", "v2"}, false, "a", 0}}, false},
		"an entry that started sees one": {[]statement{{[]string{"v1"}, true, "a", 0}, {[]string{"v1"}, false, "a", 0}}, true},
		"another one that started":       {[]statement{{[]string{"v1"}, true, "a", 0}, {[]string{"v1"}, false, "b", 0}}, true},
		"the other version is gone":      {[]statement{{[]string{"v1", "v2"}, true, "a", 0}, {[]string{"v2"}, true, "a", 0}}, true},
		"an entry is out of step":        {[]statement{{[]string{"v1", "v2"}, true, "a", 0}, {[]string{"v1"}, true, "b", 0}}, false},
		"for a minute":                   {[]statement{{[]string{"v1", "v2"}, true, "a", 0}, {[]string{"v1"}, true, "b", 59 * time.Second}}, false},
		"and no longer":                  {[]statement{{[]string{"v1", "v2"}, true, "a", 0}, {[]string{"v1"}, true, "b", 61 * time.Second}}, true},
		"nobody has seen all of late":    {[]statement{{[]string{"v1"}, true, "a", 0}, {[]string{"v1"}, false, "a", 61 * time.Second}}, false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var history origin.History

			now := time.Unix(1000, 0)

			for _, s := range c.stated {
				now = now.Add(s.after)
				history.Observe(now, s.entry, s.versions, s.complete)
			}

			_, sole := history.Sole(now)
			assert.Equal(t, sole, c.sole)
		})
	}
}

// Guards against records that grow without bound, are forgotten too early, or hold an earlier server that sent nothing.
func TestRecords(t *testing.T) {
	start := time.Unix(1000, 0)

	var records origin.Records

	records.Put(start, "a", origin.Begin{Version: "v1", Known: true})
	records.Put(start.Add(time.Second), "a", origin.Begin{Version: "v2", Known: true})
	records.Put(start, "", origin.Begin{Version: "v1", Known: true})
	records.Put(start, strings.Repeat("x", 1000), origin.Begin{Version: "v1", Known: true})

	got, ok := records.Get(start.Add(time.Minute), "a")
	assert.Assert(t, ok)
	assert.Equal(t, got.Version, "v2")
	assert.Equal(t, records.Count(), 1)

	_, ok = records.Get(start.Add(time.Hour), "a")
	assert.Assert(t, !ok)

	for i := range 1 << 15 {
		records.Put(start, strconv.Itoa(i), origin.Begin{})
	}

	assert.Equal(t, records.Count(), 1<<14)

	records.Put(start.Add(time.Hour), "late", origin.Begin{})
	assert.Equal(t, records.Count(), 1)
}
