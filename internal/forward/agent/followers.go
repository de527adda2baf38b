package agent

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/agreement"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
)

// follow records the list of servers by which an entry has chosen this agent as a holder. The lock must be held.
func (a *Agent) follow(entry string, claim agreement.Claim) {
	changed := false

	for w := range a.watchers {
		if w.name == entry && claim.List != 0 && w.list != claim.List {
			w.list = claim.List
			changed = true
		}
	}

	if changed {
		a.updateFollowers()
	}
}

// updateFollowers counts the connected entries by the list of servers that they follow, and logs when they begin and end to follow several. The
// lock must be held.
func (a *Agent) updateFollowers() {
	lists := make([]uint64, 0, len(a.watchers))
	for w := range a.watchers {
		lists = append(lists, w.list)
	}

	a.followers.Set(time.Now(), lists)

	divided := a.followers.Lists() > 1
	if divided == a.divided {
		return
	}

	a.divided = divided

	if divided {
		metric.Count(a.Metrics, "lists.divided")
		a.Log.WithField("lists", a.listsByEntry()).Info("entries follow different lists of servers")
	} else {
		a.Log.Info("entries follow the same list of servers")
	}
}

// listsByEntry returns the digest of the list that each connected entry follows, for the log. The lock must be held.
func (a *Agent) listsByEntry() map[string]string {
	lists := map[string]string{}
	for w := range a.watchers {
		lists[w.name] = convert.ListToText(w.list)
	}

	return lists
}
