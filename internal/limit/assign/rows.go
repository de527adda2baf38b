package assign

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const (
	rowPrefix = "limit/"
	// pageSize is the number of rows read at once.
	pageSize = 500
	// headKey is the row that every change of an assignment writes as well. A poll reads it alone while it is unchanged: with
	// 500 accounts, all rows have 356 KB.
	headKey = "limits/head"
	// fullInterval bounds how long a row that was written without the head goes unnoticed.
	fullInterval = 5 * time.Minute
)

// head is the value of the row limits/head: the change that wrote it.
type head struct {
	Account string `json:"account"`
	Epoch   int64  `json:"epoch"`
}

// row is a stored assignment with the version of its table row; version 0 is an absent row.
type row struct {
	assignment board.Assignment
	version    int64
}

func (a *Controller) read(ctx context.Context) (map[string]row, error) {
	if len(a.Accounts) > 0 {
		return a.readNamed(ctx)
	}

	stale := a.stale.Swap(false)

	// The head is read before the rows, so that a change between the two is seen at the next poll.
	version, err := a.headVersion(ctx)
	if err != nil {
		a.stale.Store(true)
		return nil, err
	}

	if version != 0 && version == a.head && !stale && time.Since(a.listed) < fullInterval {
		return a.rows, nil
	}

	started := time.Now()

	rows, err := a.readAll(ctx)
	if err != nil {
		a.stale.Store(true)
		return nil, err
	}

	a.rows, a.head, a.listed = rows, version, started

	return rows, nil
}

func (a *Controller) headVersion(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	stored, err := a.Table.Get(ctx, headKey)

	return stored.Version, errors.Wrap(err, "read version of share assignments")
}

func (a *Controller) readAll(ctx context.Context) (map[string]row, error) {
	rows := map[string]row{}
	after := ""

	for {
		page, err := a.page(ctx, after)
		if err != nil {
			return nil, errors.Wrap(err, "read share assignments")
		}

		for _, stored := range page {
			a.add(rows, stored)
			after = stored.Key
		}

		if len(page) < pageSize {
			return rows, nil
		}
	}
}

func (a *Controller) readNamed(ctx context.Context) (map[string]row, error) {
	rows := map[string]row{}

	for _, account := range a.Accounts {
		stored, err := a.get(ctx, account)
		if err != nil {
			return nil, err
		}

		a.add(rows, stored)
	}

	return rows, nil
}

func (a *Controller) page(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return a.Table.List(ctx, rowPrefix, after, pageSize)
}

func (a *Controller) get(ctx context.Context, account string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	stored, err := a.Table.Get(ctx, rowPrefix+account)

	return stored, errors.Wrapf(err, "read share assignment of %s", account)
}

// add parses a stored row; one that cannot be parsed is left alone and logged.
func (a *Controller) add(rows map[string]row, stored table.Row) {
	if stored.Version == 0 {
		return
	}

	account := strings.TrimPrefix(stored.Key, rowPrefix)
	parsed := row{version: stored.Version}

	if err := json.Unmarshal(stored.Value, &parsed.assignment); err != nil {
		a.log().WithError(err).WithField("account", account).Error("share assignment cannot be read")

		parsed.assignment = board.Assignment{}
	}

	parsed.assignment.Account = account
	rows[account] = parsed
}

// publish sets board.Shares, the first time also when there are no rows, because readiness depends on their being known.
// The epoch of an account never decreases there, because a reply of the table may be older than one that was published
// before.
func (a *Controller) publish(rows map[string]row) {
	known, version := a.Board.Shares.Get()
	next := maps.Clone(known)

	if next == nil {
		next = map[string]board.Assignment{}
	}

	changed := version == 0

	for account, read := range rows {
		if read.assignment.Epoch > next[account].Epoch {
			next[account] = read.assignment
			changed = true
		}
	}

	if changed {
		a.Board.Shares.Set(next)
	}

	if changed && a.Holder != nil {
		a.Holder.Refresh()
	}
}

// write commits an assignment if the row is still the current one, and publishes what the table then has. The answer
// may be lost after the write took effect, so the row is read back in any case but success.
func (a *Controller) write(ctx context.Context, current row, next board.Assignment) error {
	next.Account = current.assignment.Account
	next.Epoch = current.assignment.Epoch + 1
	check(next)

	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "encode share assignment of %s", next.Account)
	}

	latest, err := json.Marshal(head{Account: next.Account, Epoch: next.Epoch})
	if err != nil {
		return errors.Wrap(err, "encode version of share assignments")
	}

	key := rowPrefix + next.Account

	if err := a.commit(ctx, table.Txn{
		Checks: []table.Check{{Key: key, Version: current.version}},
		Puts:   []table.Put{{Key: key, Value: value}, {Key: headKey, Value: latest}},
	}); err != nil {
		a.stale.Store(true)
		return a.readBack(ctx, next.Account, err)
	}

	a.log().WithField("account", next.Account).WithField("epoch", next.Epoch).Info("share assignment written")
	a.publish(map[string]row{next.Account: {assignment: next}})

	return nil
}

func (a *Controller) commit(ctx context.Context, txn table.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	_, err := a.Table.Commit(ctx, txn)

	return err
}

// readBack publishes the stored row. A conflict is no error: another entry has made a change.
func (a *Controller) readBack(ctx context.Context, account string, cause error) error {
	stored, err := a.get(ctx, account)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}

	rows := map[string]row{}
	a.add(rows, stored)
	a.publish(rows)

	if fault.Is(cause, fault.Conflict) {
		return nil
	}

	return errors.Wrapf(cause, "write share assignment of %s", account)
}

// accounts returns the accounts that need a row or have one, sorted.
func (a *Controller) accounts(rows map[string]row) []string {
	needed := map[string]bool{terms.WeightStoreAccount: true}

	for account := range rows {
		needed[account] = true
	}

	doc := a.Board.Document.Value()
	if doc == nil {
		return slices.Sorted(maps.Keys(needed))
	}

	for account := range doc.Accounts {
		needed[account] = true
	}

	return slices.Sorted(maps.Keys(needed))
}

func check(assignment board.Assignment) {
	sum := int64(0)
	boots := map[string]bool{}

	for _, holder := range assignment.Holders {
		invariant.Check(holder.Share > 0, "share-positive", "%s holds %d of %s", holder.VM, holder.Share, assignment.Account)
		sum += holder.Share
		boots[holder.Boot] = true
	}

	invariant.Check(sum == terms.TotalShare, "share-sum", "shares of %s add up to %d", assignment.Account, sum)
	invariant.Check(len(boots) == len(assignment.Holders), "share-holders", "%s has a holder twice", assignment.Account)
}
