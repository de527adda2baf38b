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
	// pollInterval is the time between two reads of the platform's list.
	pollInterval = time.Second
	// pollTimeout bounds one read, so that a slow platform does not delay the view.
	pollTimeout = 2 * time.Second
	// mostOlder is the number of polls in a row that may answer with an older list. After that the platform has started to
	// count anew, and its list is taken.
	mostOlder = 30
)

// Controller polls the platform's list and keeps the View up to date. It writes board.VMs.
type Controller struct {
	Lister vms.Lister
	Board  *board.Board

	// View is the current view; nil until the first list is known.
	View     board.Cell[*View]
	contacts Breakers
	// older counts the polls in a row that answered with an older list.
	older int
}

// Run polls until the context ends. Changes of the document take effect at once. When the platform does not answer, the
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

// Refresh rebuilds the view from the board; an unchanged view keeps its identity, and with it the cached rankings.
func (c *Controller) Refresh(now time.Time) {
	list, version := c.Board.VMs.Get()
	if version == 0 {
		return
	}

	servers := Merge(list, c.Board.Document.Value(), &c.contacts, now)
	current := c.View.Value()

	if current != nil && slices.EqualFunc(current.Servers, servers, (*Server).equal) {
		return
	}

	c.View.Set(NewView(servers))
	logrus.WithFields(logrus.Fields{"component": "member", "servers": len(servers)}).Info("member view changed")
}

func (c *Controller) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for {
		c.read(ctx)

		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Controller) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()

	list, err := c.Lister.List(ctx)
	if err != nil {
		logrus.WithField("component", "member").WithError(err).Warn("VM list does not answer; the last one is kept")
		return
	}

	current, version := c.Board.VMs.Get()
	if version > 0 && list.Sequence == current.Sequence {
		c.older = 0
		return
	}

	if version > 0 && list.Sequence < current.Sequence && c.older < mostOlder {
		c.older++
		return
	}

	c.older = 0
	c.Board.VMs.Set(list)
	c.forget(list)
}

func (c *Controller) forget(list vms.List) {
	listed := map[string]bool{}

	for _, vm := range list.VMs {
		listed[vm.Address] = true
	}

	c.contacts.Retain(listed)
}
