package follow

import (
	"context"
	"math/rand/v2"

	"github.com/sirupsen/logrus"
)

// askLimit bounds the entries that an agent asks for one version.
const askLimit = 3

// askEntries brings an agent's document to the version from entries, one after the other. A version that was committed
// just before a table outage would otherwise be out of reach for agents that had not read it.
func (f *Follower) askEntries(ctx context.Context, version int64) {
	if f.EntryClient == nil || f.version() >= version {
		return
	}

	entries := f.ListEntries(ctx)

	for i, at := range rand.Perm(len(entries)) {
		if i == askLimit || f.version() >= version || ctx.Err() != nil {
			return
		}

		f.askOne(ctx, entries[at].Address)
	}
}

func (f *Follower) askOne(ctx context.Context, address string) {
	request := f.request()

	ctx, cancel := context.WithTimeout(ctx, syncTimeout(request))
	defer cancel()

	log := logger.WithFields(logrus.Fields{"peer": address})

	reply, err := f.EntryClient.Sync(ctx, address, request)
	if err != nil {
		log.WithError(err).Debug("entry does not answer")
		return
	}

	f.AddPendingRevocations(reply.GetRevocations())

	if err := f.learn(reply); err != nil {
		log.WithError(err).Warn("configuration of an entry was not applied")
	}
}
