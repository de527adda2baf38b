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
	// headKey is the key of the head row, which every change of an assignment also writes. While its version is unchanged, a
	// poll reads only this row: with 500 accounts, all rows take 356 KB.
	headKey = "limits/head"
	// fullReadInterval bounds how long a row that was written without the head row goes unnoticed.
	fullReadInterval = 5 * time.Minute
)

// head is the value of the head row limits/head. It describes the change that wrote the row.
type head struct {
	Account string `json:"account"`
	Epoch   int64  `json:"epoch"`
}

// row is a stored assignment with the version of its table row; version 0 means that the row does not exist.
type row struct {
	assignment board.Assignment
	version    int64
}

// read returns the rows by account, from the last full read if the head row has not changed since.
func (c *Controller) read(ctx context.Context) (map[string]row, error) {
	if len(c.Accounts) > 0 {
		return c.readAccounts(ctx)
	}

	forced := c.forceFullRead.Swap(false)

	// The head row is read before the other rows, so that the next poll notices a change between the two reads.
	version, err := c.readHeadVersion(ctx)
	if err != nil {
		c.forceFullRead.Store(true)
		return nil, err
	}

	if version != 0 && version == c.lastHeadVersion && !forced && time.Since(c.readAt) < fullReadInterval {
		return c.rows, nil
	}

	started := time.Now()

	rows, err := c.readAll(ctx)
	if err != nil {
		c.forceFullRead.Store(true)
		return nil, err
	}

	c.rows, c.lastHeadVersion, c.readAt = rows, version, started

	return rows, nil
}

func (c *Controller) readHeadVersion(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	stored, err := c.Table.Get(ctx, headKey)

	return stored.Version, errors.Wrap(err, "read head row of share assignments")
}

// readAll reads the rows of all accounts.
func (c *Controller) readAll(ctx context.Context) (map[string]row, error) {
	rows := map[string]row{}
	after := ""

	for {
		page, err := c.listPage(ctx, after)
		if err != nil {
			return nil, errors.Wrap(err, "read share assignments")
		}

		for _, stored := range page {
			c.addRow(rows, stored)
			after = stored.Key
		}

		if len(page) < pageSize {
			return rows, nil
		}
	}
}

// readAccounts reads the rows of the accounts in Accounts.
func (c *Controller) readAccounts(ctx context.Context) (map[string]row, error) {
	rows := map[string]row{}

	for _, account := range c.Accounts {
		stored, err := c.getRow(ctx, account)
		if err != nil {
			return nil, err
		}

		c.addRow(rows, stored)
	}

	return rows, nil
}

func (c *Controller) listPage(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.Table.List(ctx, rowPrefix, after, pageSize)
}

func (c *Controller) getRow(ctx context.Context, account string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	stored, err := c.Table.Get(ctx, rowPrefix+account)

	return stored, errors.Wrapf(err, "read share assignment of account %s", account)
}

// addRow decodes a stored row. A row that cannot be decoded is logged and added without its assignment, so that it is not
// overwritten.
func (c *Controller) addRow(rows map[string]row, stored table.Row) {
	if stored.Version == 0 {
		return
	}

	account := strings.TrimPrefix(stored.Key, rowPrefix)
	parsed := row{version: stored.Version}

	if err := json.Unmarshal(stored.Value, &parsed.assignment); err != nil {
		c.log().WithError(err).WithField("account", account).Error("failed to decode share assignment")

		parsed.assignment = board.Assignment{}
	}

	parsed.assignment.Account = account
	rows[account] = parsed
}

// publish updates board.Shares. The first call sets it even if there are no rows, because readiness requires that the
// assignments have been read. The epoch of an account never decreases, because a reply of the table may be older than the
// assignment that was published before.
func (c *Controller) publish(rows map[string]row) {
	known, version := c.Board.Shares.Get()
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
		c.Board.Shares.Set(next)
	}

	if changed && c.Holder != nil {
		c.Holder.Refresh()
	}
}

// writeRow commits an assignment if the version of the row is unchanged, and publishes the result. The reply may be lost
// after the write took effect, so the row is read back after every error.
func (c *Controller) writeRow(ctx context.Context, current row, next board.Assignment) error {
	next.Account = current.assignment.Account
	next.Epoch = current.assignment.Epoch + 1
	checkInvariants(next)

	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "encode share assignment of account %s", next.Account)
	}

	headValue, err := json.Marshal(head{Account: next.Account, Epoch: next.Epoch})
	if err != nil {
		return errors.Wrap(err, "encode head row of share assignments")
	}

	key := rowPrefix + next.Account

	if err := c.commit(ctx, table.Txn{
		Checks: []table.Check{{Key: key, Version: current.version}},
		Puts:   []table.Put{{Key: key, Value: value}, {Key: headKey, Value: headValue}},
	}); err != nil {
		c.forceFullRead.Store(true)
		return c.readBack(ctx, next.Account, err)
	}

	c.log().WithField("account", next.Account).WithField("epoch", next.Epoch).Info("share assignment written")
	c.publish(map[string]row{next.Account: {assignment: next}})

	return nil
}

func (c *Controller) commit(ctx context.Context, txn table.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	_, err := c.Table.Commit(ctx, txn)

	return err
}

// readBack publishes the stored row after a failed write. A conflict is no error, because another entry has changed the row.
func (c *Controller) readBack(ctx context.Context, account string, cause error) error {
	stored, err := c.getRow(ctx, account)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}

	rows := map[string]row{}
	c.addRow(rows, stored)
	c.publish(rows)

	if fault.Is(cause, fault.Conflict) {
		return nil
	}

	return errors.Wrapf(cause, "write share assignment of account %s", account)
}

// accounts returns the accounts that need or have a row, sorted.
func (c *Controller) accounts(rows map[string]row) []string {
	needed := map[string]bool{terms.WeightStoreAccount: true}

	for account := range rows {
		needed[account] = true
	}

	doc := c.Board.Document.Value()
	if doc == nil {
		return slices.Sorted(maps.Keys(needed))
	}

	for account := range doc.Accounts {
		needed[account] = true
	}

	return slices.Sorted(maps.Keys(needed))
}

// checkInvariants checks that the shares are positive, add up to the whole account and have different holders.
func checkInvariants(assignment board.Assignment) {
	sum := int64(0)
	boots := map[string]bool{}

	for _, holder := range assignment.Holders {
		invariant.Check(holder.Share > 0, "share-positive", "holder on VM %s has a share of %d of account %s", holder.VM, holder.Share, assignment.Account)
		sum += holder.Share
		boots[holder.Boot] = true
	}

	invariant.Check(sum == terms.TotalShare, "share-sum", "shares of account %s add up to %d", assignment.Account, sum)
	invariant.Check(len(boots) == len(assignment.Holders), "share-holders", "account %s has a duplicate holder", assignment.Account)
}
