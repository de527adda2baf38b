package assign_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/assign"
	"github.com/chestnutbeam/chestnutbeam/internal/limit/holder"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const account = "press"

// newController returns the controller of an entry on vm-a that has contact with an entry on vm-b in another failure domain.
func newController(rows table.Table) *assign.Controller {
	b := &board.Board{}
	b.Document.Set(&document.Document{Version: 1, Accounts: map[string]document.Account{account: {Rate: 10, Burst: 1000}}})
	b.VMs.Set(vms.List{Sequence: 5, VMs: []vms.VM{listed("a"), listed("b")}})
	b.Peers.Set(map[string]board.Peer{"vm-b:1": {Boot: "boot-b", Domain: "b", LastContact: time.Now()}})

	self := board.Holder{VM: "vm-a", Address: "vm-a:1", Boot: "boot-a", Domain: "a"}

	return &assign.Controller{Board: b, Table: rows, Holder: &holder.Holder{Board: b, Boot: self.Boot}, Self: self}
}

func listed(domain string) vms.VM {
	return vms.VM{Name: "vm-" + domain, Address: "vm-" + domain + ":1", Domain: domain, Role: vms.RoleEntry}
}

// storeRow writes the assignment of the account to the table, without the head row.
func storeRow(t *testing.T, rows table.Table, epoch int64, holders ...board.Holder) {
	t.Helper()

	value, err := json.Marshal(board.Assignment{Account: account, Epoch: epoch, Holders: holders})
	assert.NilError(t, err)

	_, err = rows.Commit(context.Background(), table.Txn{Puts: []table.Put{{Key: "limit/" + account, Value: value}}})
	assert.NilError(t, err)
}

// Guards against a share that is reassigned while its holder still runs, because the VM list or the peers of this entry are
// older than the row.
func TestHolderIsReplacedOnlyWhenKnownToHaveEnded(t *testing.T) {
	cases := map[string]struct {
		holder board.Holder
		reply  string
		ended  bool
	}{
		"VM was removed from the list": {board.Holder{VM: "vm-x", Address: "x:1", Boot: "boot-x", Domain: "b", Listed: 4}, "", true},
		"VM is not in this list yet":   {board.Holder{VM: "vm-x", Address: "x:1", Boot: "boot-x", Domain: "b", Listed: 6}, "", false},
		"successor replies":            {board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-old", Domain: "b", Listed: 5}, "boot-b", true},
		"known boot id is outdated":    {board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-new", Domain: "b", Listed: 5}, "boot-new", false},
		"no process replies":           {board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-old", Domain: "b", Listed: 5}, "", false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rows := &table.Memory{}
			c := newController(rows)
			c.FetchBootID = func(context.Context, string) (string, error) {
				if tc.reply == "" {
					return "", errors.New("no reply")
				}

				return tc.reply, nil
			}

			tc.holder.Share = 500_000
			storeRow(t, rows, 1, board.Holder{VM: "vm-a", Address: "vm-a:1", Boot: "boot-a", Domain: "a", Share: 500_000, Since: 1, Listed: 5}, tc.holder)
			assert.NilError(t, c.Reconcile(context.Background()))

			row := c.Board.Shares.Value()[account]
			if !tc.ended {
				assert.Equal(t, row.Epoch, int64(1))
				return
			}

			assert.Equal(t, row.Epoch, int64(2))
			assert.Equal(t, row.Holders[1].Boot, "boot-b")
			assert.Equal(t, row.Holders[1].Since, int64(2))
			assert.Assert(t, !row.Holders[1].Full)
		})
	}
}

// countingTable counts the reads of all rows.
type countingTable struct {
	table.Memory
	count int
}

func (c *countingTable) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	c.count++

	return c.Memory.List(ctx, prefix, after, limit)
}

// Guards against polls that read all rows although none has changed, and against a change or a requested poll without such a
// read.
func TestAllRowsAreReadOnlyAfterAChange(t *testing.T) {
	rows := &countingTable{}
	c, other := newController(rows), newController(&rows.Memory)
	reconcile := func(count int) {
		t.Helper()

		for range 5 {
			assert.NilError(t, c.Reconcile(context.Background()))
		}

		assert.Equal(t, rows.count, count)
	}

	// The first call writes a row for each account; the second one notices the change of the head row.
	reconcile(2)

	other.Board.Document.Set(&document.Document{Version: 2, Accounts: map[string]document.Account{"late": {Rate: 10, Burst: 1000}}})
	assert.NilError(t, other.Reconcile(context.Background()))
	reconcile(3)
	assert.Equal(t, len(c.Board.Shares.Value()["late"].Holders), 2)

	// A row that was changed without the head row is noticed only after a requested poll.
	storeRow(t, rows, 9, board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-b", Domain: "b", Share: 1_000_000, Since: 9})
	reconcile(3)
	c.RequestPoll(account)
	reconcile(4)
	assert.Equal(t, c.Board.Shares.Value()[account].Epoch, int64(9))
}

// Guards against a part that the previous holder still spends when the row assigns it to the new one.
func TestShareIsReducedBeforeTheRowIsWritten(t *testing.T) {
	rows := &hookedTable{}
	c := newController(rows)
	storeRow(t, rows, 1, board.Holder{VM: "vm-a", Address: "vm-a:1", Boot: "boot-a", Domain: "a", Share: 1_000_000, Since: 1, Full: true})

	rows.beforeCommit = func() {
		_, capacity, _ := c.Holder.Level(account)
		assert.Equal(t, capacity, int64(500))
	}

	assert.NilError(t, c.Reconcile(context.Background()))

	row := c.Board.Shares.Value()[account]
	assert.Equal(t, row.Epoch, int64(2))
	assert.Equal(t, row.Holders[0].Share, int64(500_000))
	assert.Equal(t, row.Holders[1].Boot, "boot-b")
}

// Guards against a drain that reassigns shares while this process still serves them, and against a write whose reply is lost
// and that is not read back.
func TestDrainStopsServingFirst(t *testing.T) {
	rows := &hookedTable{}
	c := newController(rows)
	assert.NilError(t, c.Reconcile(context.Background()))
	assert.Equal(t, len(c.Board.Shares.Value()[account].Holders), 2)

	rows.loseReplies = true
	rows.beforeCommit = func() {
		_, _, ok := c.Holder.Level(account)
		assert.Assert(t, !ok)
	}

	c.Board.Draining.Set(true)
	assert.NilError(t, c.Drain(context.Background()))

	row := c.Board.Shares.Value()[account]
	assert.Equal(t, len(row.Holders), 1)
	assert.Equal(t, row.Holders[0].Boot, "boot-b")
	assert.Equal(t, row.Holders[0].Share, int64(1_000_000))
}

// hookedTable calls a function before each commit and can lose the replies.
type hookedTable struct {
	table.Memory

	beforeCommit func()
	loseReplies  bool
}

func (h *hookedTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if h.beforeCommit != nil {
		h.beforeCommit()
	}

	revision, err := h.Memory.Commit(ctx, txn)
	if h.loseReplies {
		return 0, fault.New(fault.TableUnavailable, "reply lost")
	}

	return revision, err
}
