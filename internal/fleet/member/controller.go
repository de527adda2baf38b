package member

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	// pollInterval is the time between two reads of the platform's VM list.
	pollInterval = time.Second
	// pollTimeout bounds one read, so that a slow platform does not delay updates of the view.
	pollTimeout = 2 * time.Second
	// maxOlderLists is the maximum number of consecutive polls that return an older list and are ignored. After that, the
	// platform is assumed to have restarted its sequence, and its list is accepted.
	maxOlderLists = 30
)

// Controller polls the platform's VM list and keeps the View up to date. It writes board.VMs.
type Controller struct {
	Lister vms.Lister
	Board  *board.Board

	// View is the current view; nil until the first list is known.
	View     board.Cell[*View]
	breakers Breakers
	// olderLists is the number of consecutive polls that returned an older list.
	olderLists int
}

// Run polls until the context ends. Changes of the document take effect at once. While the platform is not reachable, the
// last list is kept.
func (c *Controller) Run(ctx context.Context) error {
	go c.poll(ctx)

	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for {
		listed := c.Board.VMs.Changed()
		configured := c.Board.Document.Changed()

		c.Refresh(time.Now())

		select {
		case <-ctx.Done():
			return nil
		case <-listed:
		case <-configured:
		case <-ticker.C:
		}
	}
}

// Refresh rebuilds the view from the board. If nothing has changed, the old View value is kept, and with it the rankings that
// are cached for it.
func (c *Controller) Refresh(now time.Time) {
	list, version := c.Board.VMs.Get()
	if version == 0 {
		return
	}

	servers := Merge(list, c.Board.Document.Value(), &c.breakers, now)
	current := c.View.Value()

	if current != nil && slices.EqualFunc(current.Servers, servers, (*Server).equal) {
		return
	}

	c.View.Set(NewView(servers))
	logrus.WithFields(logrus.Fields{"component": "member", "servers": len(servers)}).Info("member view changed")
}

// poll reads the list at every pollInterval until the context ends.
func (c *Controller) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for {
		c.readList(ctx)

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readList reads the list once and sets board.VMs if it has a new sequence.
func (c *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()

	list, err := c.Lister.List(ctx)
	if err != nil {
		logrus.WithField("component", "member").WithError(err).Warn("reading the VM list failed; keeping the last list")
		return
	}

	current, version := c.Board.VMs.Get()
	if version > 0 && list.Sequence == current.Sequence {
		c.olderLists = 0
		return
	}

	if version > 0 && list.Sequence < current.Sequence && c.olderLists < maxOlderLists {
		c.olderLists++
		return
	}

	c.olderLists = 0
	c.Board.VMs.Set(list)
	c.removeBreakers(list)
}

// removeBreakers deletes the breakers of addresses that are not in the list.
func (c *Controller) removeBreakers(list vms.List) {
	listed := map[string]bool{}

	for _, vm := range list.VMs {
		listed[vm.Address] = true
	}

	c.breakers.Retain(listed)
}
