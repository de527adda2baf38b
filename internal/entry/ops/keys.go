package ops

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// revokeTimeout is how long a revocation waits for the table before it becomes pending. It is short because callers can use
// the key until then.
const revokeTimeout = 2 * time.Second

func (a *API) grant(c echo.Context) error {
	var request api.Grant
	if err := bind(c, &request); err != nil {
		return err
	}

	key := document.Key{Hash: request.Hash, Account: request.Account}

	return a.changeItem(c, request.ItemChange, func(d *document.Document) ([]document.Edit, error) {
		old, exists := d.Keys[request.Key]

		switch {
		case exists && old == key:
			return nil, nil
		case exists:
			return nil, fault.New(fault.InvalidRequest, "key %q exists and cannot be granted again", request.Key).WithParam("key")
		default:
			return setItem(document.SectionKey, request.Key, key)
		}
	})
}

// revoke commits a revocation. If the table is unavailable, the revocation is kept as pending, sent to the other entries and
// committed later.
func (a *API) revoke(c echo.Context) error {
	var request api.ItemChange
	if err := bind(c, &request); err != nil {
		return err
	}

	if err := requireReason(request); err != nil {
		return err
	}

	change := newChange(c, request.ID, request.Reason)
	revocation := board.Revocation{
		Key: c.Param("name"), Author: change.Author, Reason: change.Reason, Time: change.Time, Change: change.ID,
	}

	ctx, cancel := context.WithTimeout(c.Request().Context(), revokeTimeout)
	defer cancel()

	outcome, err := a.commitItem(ctx, change, func(d *document.Document) ([]document.Edit, error) {
		edits, err := revokeEdits(d, revocation)
		if len(edits) > 0 && !a.Follower.TableAvailable() {
			return nil, fault.New(fault.TableUnavailable, "the table does not answer")
		}

		return edits, err
	})

	switch {
	case err == nil:
		return c.JSON(http.StatusOK, outcome)
	case tableUnavailable(err):
		a.Follower.Revoke(context.WithoutCancel(c.Request().Context()), revocation)
		return c.JSON(http.StatusAccepted, api.Outcome{Change: change.ID, Pending: true})
	default:
		return err
	}
}

func revokeEdits(d *document.Document, revocation board.Revocation) ([]document.Edit, error) {
	key, ok := d.Keys[revocation.Key]

	switch {
	case !ok:
		return nil, fault.New(fault.NotFound, "there is no key %q", revocation.Key)
	case key.Revoked:
		return nil, nil
	}

	change, err := follow.RevokeChange(d, revocation)

	return change.Edits, err
}

// tableUnavailable reports whether the table did not answer, so that the change may or may not have been committed.
func tableUnavailable(err error) bool {
	return fault.Is(err, fault.TableUnavailable) || fault.Is(err, fault.OutcomeUnknown) ||
		fault.Is(err, fault.StaleConfig) || fault.FromError(err).Kind == fault.DeadlineExceeded
}
