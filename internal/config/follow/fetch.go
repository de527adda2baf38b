package follow

import (
	"context"
	"math/rand/v2"

	"github.com/sirupsen/logrus"
)

// maxEntryCalls is the maximum number of entries that an agent calls to get one version.
const maxEntryCalls = 3

// fetchFromEntries calls up to maxEntryCalls entries in random order until the agent's document has at least the version.
// Without it, an agent could not get a version that was committed just before a table outage.
func (f *Follower) fetchFromEntries(ctx context.Context, version int64) {
	if f.EntryClient == nil || f.version() >= version {
		return
	}

	entries := f.ListEntries(ctx)

	for i, at := range rand.Perm(len(entries)) {
		if i == maxEntryCalls || f.version() >= version || ctx.Err() != nil {
			return
		}

		f.fetchFromEntry(ctx, entries[at].Address)
	}
}

func (f *Follower) fetchFromEntry(ctx context.Context, address string) {
	request := f.request()

	ctx, cancel := context.WithTimeout(ctx, syncTimeout(request))
	defer cancel()

	log := logger.WithFields(logrus.Fields{"peer": address})

	reply, err := f.EntryClient.Sync(ctx, address, request)
	if err != nil {
		log.WithError(err).Debug("sync call to the entry failed")
		return
	}

	f.AddPendingRevocations(reply.GetRevocations())

	if err := f.applyReply(reply); err != nil {
		log.WithError(err).Warn("failed to apply the configuration from an entry")
	}
}
