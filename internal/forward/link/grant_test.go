package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wrong tenure in grant requests: after a change of the holder, the tenure starts with the change, and the
// first list that an entry reads is no change.
func TestHolderTenure(t *testing.T) {
	start := time.Unix(1000, 0)
	l := &Links{
		links:     map[string]*link{"a": {address: "a", openedAt: start}, "b": {address: "b", openedAt: start}},
		removedAt: map[string]time.Time{},
		firstSync: start,
	}

	first, ok := l.holder(start.Add(time.Minute), "acme")
	assert.Assert(t, ok)
	assert.Assert(t, !first.tenure.Moved)
	assert.Equal(t, first.tenure.Age, time.Minute)

	delete(l.links, first.address)
	l.removedAt[first.address] = start.Add(time.Minute)

	second, ok := l.holder(start.Add(61*time.Second), "acme")
	assert.Assert(t, ok)
	assert.Assert(t, second.address != first.address)
	assert.Assert(t, second.tenure.Moved)
	assert.Equal(t, second.tenure.Age, time.Second)

	l.links[first.address] = &link{address: first.address, openedAt: start.Add(70 * time.Second)}

	third, ok := l.holder(start.Add(72*time.Second), "acme")
	assert.Assert(t, ok)
	assert.Equal(t, third.address, first.address)
	assert.Assert(t, third.tenure.Moved)
	assert.Equal(t, third.tenure.Age, 2*time.Second)

	_, ok = (&Links{}).holder(start, "acme")
	assert.Assert(t, !ok)
}
