package link

import (
	"context"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
)

// Guards against entries that state the same list although they may choose different holders, and against ones that state different lists although
// they choose the same ones, which costs grants.
func TestDigestOfTheList(t *testing.T) {
	server := func(id, address string, vanished bool) fleet.Server {
		return fleet.Server{ID: id, Address: address, Vanished: vanished}
	}
	a, b, c := server("a", "10.0.0.1:1", false), server("b", "10.0.0.2:1", false), server("c", "10.0.0.3:1", false)
	vanishedA, vanishedB := server("a", "10.0.0.1:1", true), server("b", "10.0.0.2:1", true)

	draining := b
	draining.Draining = true

	cases := map[string]struct {
		first, second []fleet.Server
		same          bool
	}{
		"the same in another order": {[]fleet.Server{a, b, c}, []fleet.Server{c, a, b}, true},
		"one more":                  {[]fleet.Server{a, b}, []fleet.Server{a, b, c}, false},
		"another one":               {[]fleet.Server{a, b}, []fleet.Server{a, c}, false},
		"one that has vanished":     {[]fleet.Server{a, b}, []fleet.Server{a, vanishedB}, false},
		"vanished or removed":       {[]fleet.Server{a}, []fleet.Server{a, vanishedB}, true},
		"one is draining":           {[]fleet.Server{a, b}, []fleet.Server{a, draining}, true},
		"all vanished":              {[]fleet.Server{vanishedA, vanishedB}, []fleet.Server{vanishedA}, false},
		"names that run together":   {[]fleet.Server{server("ab", "x", false), c}, []fleet.Server{a, b, c}, false},
		"none and one":              {nil, []fleet.Server{a}, false},
	}

	digest := func(servers []fleet.Server) uint64 {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()

		l := &Links{Log: logrus.New(), Pool: conn.New(nil)}
		assert.Equal(t, l.statedList(), uint64(0), "no list has been read")
		l.Sync(ctx, servers)

		return l.statedList()
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, digest(c.first) == digest(c.second), c.same)
			assert.Assert(t, digest(c.first) != 0)
		})
	}
}

// Guards against agents that learn only seconds later that an entry follows another list, and against messages to all of them when nothing has
// changed.
func TestChangeOfTheListIsToldAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	l := &Links{Log: logrus.New(), Pool: conn.New(nil)}
	told := func(servers ...fleet.Server) bool {
		changed := l.settingsChanged()
		l.Sync(ctx, servers)

		select {
		case <-changed:
			return true
		default:
			return false
		}
	}

	a, b := fleet.Server{ID: "a", Address: "10.0.0.1:1"}, fleet.Server{ID: "b", Address: "10.0.0.2:1"}
	assert.Check(t, told(a))
	assert.Check(t, !told(a))
	assert.Check(t, told(a, b))

	b.Draining = true
	assert.Check(t, !told(a, b))
	assert.Check(t, told(a))
}
