package ops

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// commitTimeout bounds a commit, so that a revocation becomes pending soon when the table is unavailable.
const commitTimeout = 5 * time.Second

// itemAttempts is the maximum number of attempts to commit a change of one item; each one after a conflict is based on a newer
// document.
const itemAttempts = 4

// change commits edits that are based on a version; it returns a conflict if a newer version was committed.
func (a *API) change(c echo.Context) error {
	var request api.Change
	if err := bind(c, &request); err != nil {
		return err
	}

	ctx := c.Request().Context()
	if err := a.Follower.CatchUp(ctx, request.Version); err != nil {
		return err
	}

	d, err := a.document()
	if err != nil {
		return err
	}

	change := newChange(c, request.ID, request.Reason)
	change.Version = request.Version + 1
	change.Edits = request.Edits

	if err := a.commit(ctx, d, change); err != nil {
		return err
	}

	return c.JSON(http.StatusOK, api.Outcome{Version: change.Version, Change: change.ID})
}

func (a *API) commit(ctx context.Context, d *document.Document, change document.Change) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()

	next, err := a.Store.Commit(ctx, d, change)
	if err != nil {
		// The document is read again at once, so that the operator's next request sees what was committed.
		a.Follower.Wake()
		return err
	}

	a.Follower.ApplyCommitted(next, change)

	return nil
}

// changeItem commits edits that do not depend on the version: after a conflict they are computed again from the newer document.
func (a *API) changeItem(c echo.Context, request api.ItemChange, edits func(d *document.Document) ([]document.Edit, error)) error {
	outcome, err := a.commitItem(c.Request().Context(), newChange(c, request.ID, request.Reason), edits)
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, outcome)
}

func (a *API) commitItem(ctx context.Context, change document.Change, edits func(d *document.Document) ([]document.Edit, error)) (api.Outcome, error) {
	var err error

	for range itemAttempts {
		var d *document.Document

		d, err = a.document()
		if err != nil {
			return api.Outcome{}, err
		}

		change.Version = d.Version + 1

		change.Edits, err = edits(d)
		if err != nil {
			return api.Outcome{}, err
		}

		if len(change.Edits) == 0 {
			return api.Outcome{Version: d.Version, Change: change.ID, Unchanged: true}, nil
		}

		err = a.commit(ctx, d, change)
		if err == nil {
			return api.Outcome{Version: change.Version, Change: change.ID}, nil
		}

		if !fault.Is(err, fault.Conflict) {
			return api.Outcome{}, err
		}

		if err := a.Follower.CatchUp(ctx, change.Version); err != nil {
			return api.Outcome{}, err
		}
	}

	return api.Outcome{}, err
}

func newChange(c echo.Context, id, reason string) document.Change {
	if id == "" {
		id = ident.New("change")
	}

	return document.Change{ID: id, Author: operatorName(c), Time: time.Now().UTC().Truncate(time.Millisecond), Reason: reason}
}

// setItem returns the edit that sets one item of the document.
func setItem(section document.Section, name string, value any) ([]document.Edit, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s %s", section, name)
	}

	return []document.Edit{{Section: section, Name: name, Value: data}}, nil
}

func requireReason(request api.ItemChange) error {
	if request.Reason == "" {
		return fault.New(fault.InvalidRequest, "a reason is required").WithParam("reason")
	}

	return nil
}
