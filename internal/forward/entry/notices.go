package entry

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
)

// notices holds what the servers of plain services stated about whether they take requests. Agents track their model servers.
type notices struct {
	mu sync.Mutex
	// records is keyed by server id.
	records map[string]*notice.Record
}

func (n *notices) observe(now time.Time, server fleet.Server, stated notice.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.records == nil {
		n.records = map[string]*notice.Record{}
	}

	if n.records[server.ID] == nil {
		n.records[server.ID] = &notice.Record{}
	}

	n.records[server.ID].Observe(now, server.StartedAt, stated)
}

// check reports whether a server has announced that it leaves, and how long it still wants no requests.
func (n *notices) check(now time.Time, server fleet.Server) (leaving bool, restLeft time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()

	record := n.records[server.ID]
	if record == nil {
		return false, 0
	}

	return record.Leaving(server.StartedAt), record.RestLeft(now)
}

// ObserveNotice records what a server of a plain service stated about whether it takes requests.
func (e *Entry) ObserveNotice(instance string, stated notice.Notice) {
	server, ok := e.Fleet.Find(instance)
	if !ok {
		return
	}

	e.notices.observe(time.Now(), server, stated)
	e.Log.WithField(fieldServer, instance).WithField("leaving", stated.Leaving).WithField("rest", stated.Rest.Milliseconds()).
		Info("server stated whether it takes requests")
}
