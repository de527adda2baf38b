package link

import (
	"context"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/convert"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

const (
	// originTimeout limits the search for the begin of a stream, whose client waits; originGrace is how long agents that have not replied
	// are waited for once one has named it.
	originTimeout = 400 * time.Millisecond
	originGrace   = 100 * time.Millisecond
	// originHolders is the number of agents that an entry has remember the begin of a stream.
	originHolders = 2
)

// receiveSoleVersion passes on the only version that the servers of a service have had, as an agent knows it.
func (l *Links) receiveSoleVersion(agent *link, state *relay.State) {
	if l.OnSoleVersion == nil || !state.GetSole() {
		return
	}

	l.mu.Lock()
	server := agent.server
	l.mu.Unlock()

	l.OnSoleVersion(server, state.GetSoftware())
}

// OriginClient asks agents at which process of a backend server streams began.
type OriginClient struct {
	Links *Links
	// Entry is the name of this entry.
	Entry string
}

// Find asks all connected agents for the begin of a stream, and returns the latest one; false if no agent knows it. An earlier one is that
// of a server that had begun to respond when another took its place.
func (o *OriginClient) Find(ctx context.Context, attempt string) (origin.Begin, bool) {
	bounded, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()

	addresses := o.Links.ranked(attempt)
	replies := make(chan *relay.OriginReply, len(addresses))

	for _, address := range addresses {
		go func() {
			reply, _ := relay.NewDRPCRelayClient(o.Links.Pool.Get(address)).FindOrigin(bounded, &relay.OriginQuery{Entry: o.Entry, Attempt: []byte(attempt)})
			replies <- reply
		}()
	}

	var (
		latest origin.Begin
		known  bool
	)

	for range addresses {
		select {
		case <-bounded.Done():
			return latest, known
		case reply := <-replies:
			begin, ok := convert.OriginFromWire(time.Now(), reply.GetOrigin())
			if !ok || known && begin.At.Before(latest.At) {
				continue
			}

			if !known {
				stop := time.AfterFunc(originGrace, cancel)
				defer stop.Stop()
			}

			latest, known = begin, true
		}
	}

	return latest, known
}

// Record has agents remember the begin of a stream, so that other entries find it.
func (o *OriginClient) Record(attempt string, begin origin.Begin) {
	informed := 0

	for _, address := range o.Links.ranked(attempt) {
		if informed == originHolders {
			return
		}

		if o.record(address, &relay.OriginReport{Entry: o.Entry, Attempt: []byte(attempt), Origin: convert.OriginToWire(time.Now(), begin)}) {
			informed++
		}
	}
}

// record has the agent at an address remember the begin of a stream, and reports whether it does.
func (o *OriginClient) record(address string, report *relay.OriginReport) bool {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()

	_, err := relay.NewDRPCRelayClient(o.Links.Pool.Get(address)).RecordOrigin(ctx, report)

	return err == nil
}
