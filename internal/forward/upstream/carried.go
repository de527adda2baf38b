package upstream

import (
	"maps"
	"time"
)

// maxCarriedRequests is the number of requests that a connection remembers before it is closed.
const maxCarriedRequests = 64

// carriedRequests holds the requests whose responses on a connection let them be sent once more, each until its deadline, by id. All
// sends of a request have the same id, so that a late copy of the first response on the connection would pass for the second one.
type carriedRequests map[string]time.Time

// add remembers a request and reports whether there was room for it.
func (c carriedRequests) add(now time.Time, id string, deadline time.Time) bool {
	if len(c) >= maxCarriedRequests {
		maps.DeleteFunc(c, func(_ string, until time.Time) bool { return now.After(until) })
	}

	if len(c) >= maxCarriedRequests {
		return false
	}

	c[id] = deadline

	return true
}

// has reports whether a request was sent on the connection before.
func (c carriedRequests) has(id string) bool {
	_, ok := c[id]

	return ok
}
