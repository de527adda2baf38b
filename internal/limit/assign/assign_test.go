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

// newAssign returns the controller of an entry on vm-a, with a contacted entry on vm-b, in two failure domains.
func newAssign(store table.Table) *assign.Controller {
	b := &board.Board{}
	b.Document.Set(&document.Document{Version: 1, Accounts: map[string]document.Account{account: {Rate: 10, Burst: 1000}}})
	b.VMs.Set(vms.List{Sequence: 5, VMs: []vms.VM{listed("a"), listed("b")}})
	b.Peers.Set(map[string]board.Peer{"vm-b:1": {Boot: "boot-b", Domain: "b", LastContact: time.Now()}})

	self := board.Holder{VM: "vm-a", Address: "vm-a:1", Boot: "boot-a", Domain: "a"}

	return &assign.Controller{Board: b, Table: store, Holder: &holder.Holder{Board: b, Boot: self.Boot}, Self: self}
}

func listed(domain string) vms.VM {
	return vms.VM{Name: "vm-" + domain, Address: "vm-" + domain + ":1", Domain: domain, Role: vms.RoleEntry}
}

func store(t *testing.T, rows table.Table, epoch int64, holders ...board.Holder) {
	t.Helper()

	value, err := json.Marshal(board.Assignment{Account: account, Epoch: epoch, Holders: holders})
	assert.NilError(t, err)

	_, err = rows.Commit(context.Background(), table.Txn{Puts: []table.Put{{Key: "limit/" + account, Value: value}}})
	assert.NilError(t, err)
}

// Guards against a share that is given away while its holder is alive, because the view of this entry is older than
// the row.
func TestHolderIsReplacedOnlyWhenKnownToBeGone(t *testing.T) {
	cases := map[string]struct {
		holder board.Holder
		answer string
		gone   bool
	}{
		"VM left the list":          {board.Holder{VM: "vm-x", Address: "x:1", Boot: "boot-x", Domain: "b", Listed: 4}, "", true},
		"VM not in this list yet":   {board.Holder{VM: "vm-x", Address: "x:1", Boot: "boot-x", Domain: "b", Listed: 6}, "", false},
		"successor answers":         {board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-old", Domain: "b", Listed: 5}, "boot-b", true},
		"peer entry is out of date": {board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-new", Domain: "b", Listed: 5}, "boot-new", false},
		"nothing answers":           {board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-old", Domain: "b", Listed: 5}, "", false},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			rows := &table.Memory{}
			a := newAssign(rows)
			a.FetchBootID = func(context.Context, string) (string, error) {
				if tc.answer == "" {
					return "", errors.New("no answer")
				}

				return tc.answer, nil
			}

			tc.holder.Share = 500_000
			store(t, rows, 1, board.Holder{VM: "vm-a", Address: "vm-a:1", Boot: "boot-a", Domain: "a", Share: 500_000, Since: 1, Listed: 5}, tc.holder)
			assert.NilError(t, a.Reconcile(context.Background()))

			row := a.Board.Shares.Value()[account]
			if !tc.gone {
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

// lists counts the reads of all rows.
type lists struct {
	table.Memory
	count int
}

func (l *lists) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	l.count++

	return l.Memory.List(ctx, prefix, after, limit)
}

// Guards against polls that read every row while none has changed, and against a change or a hint that is not followed by
// such a read.
func TestAllRowsAreReadOnlyAfterAChange(t *testing.T) {
	rows := &lists{}
	a, other := newAssign(rows), newAssign(&rows.Memory)
	cycles := func(count int) {
		t.Helper()

		for range 5 {
			assert.NilError(t, a.Reconcile(context.Background()))
		}

		assert.Equal(t, rows.count, count)
	}

	// The first cycle writes a row for each account; the second one sees the change of the head.
	cycles(2)

	other.Board.Document.Set(&document.Document{Version: 2, Accounts: map[string]document.Account{"late": {Rate: 10, Burst: 1000}}})
	assert.NilError(t, other.Reconcile(context.Background()))
	cycles(3)
	assert.Equal(t, len(a.Board.Shares.Value()["late"].Holders), 2)

	// A holder whose row was changed without the head says so to its callers.
	store(t, rows, 9, board.Holder{VM: "vm-b", Address: "vm-b:1", Boot: "boot-b", Domain: "b", Share: 1_000_000, Since: 9})
	cycles(3)
	a.RequestPoll(account)
	cycles(4)
	assert.Equal(t, a.Board.Shares.Value()[account].Epoch, int64(9))
}

// Guards against a part that the giver still spends when the row gives it to the taker.
func TestGiverStopsBeforeTheRowIsWritten(t *testing.T) {
	rows := &watched{}
	a := newAssign(rows)
	store(t, rows, 1, board.Holder{VM: "vm-a", Address: "vm-a:1", Boot: "boot-a", Domain: "a", Share: 1_000_000, Since: 1, Full: true})

	rows.before = func() {
		_, size, _ := a.Holder.Level(account)
		assert.Equal(t, size, int64(500))
	}

	assert.NilError(t, a.Reconcile(context.Background()))

	row := a.Board.Shares.Value()[account]
	assert.Equal(t, row.Epoch, int64(2))
	assert.Equal(t, row.Holders[0].Share, int64(500_000))
	assert.Equal(t, row.Holders[1].Boot, "boot-b")
}

// Guards against a drain that gives shares away while they are served, and against a lost reply that is not read back.
func TestDrainStopsServingFirst(t *testing.T) {
	rows := &watched{}
	a := newAssign(rows)
	assert.NilError(t, a.Reconcile(context.Background()))
	assert.Equal(t, len(a.Board.Shares.Value()[account].Holders), 2)

	rows.lose = true
	rows.before = func() {
		_, _, ok := a.Holder.Level(account)
		assert.Assert(t, !ok)
	}

	a.Board.Draining.Set(true)
	assert.NilError(t, a.Drain(context.Background()))

	row := a.Board.Shares.Value()[account]
	assert.Equal(t, len(row.Holders), 1)
	assert.Equal(t, row.Holders[0].Boot, "boot-b")
	assert.Equal(t, row.Holders[0].Share, int64(1_000_000))
}

// watched calls a function before each commit and can lose the replies.
type watched struct {
	table.Memory

	before func()
	lose   bool
}

func (w *watched) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if w.before != nil {
		w.before()
	}

	revision, err := w.Memory.Commit(ctx, txn)
	if w.lose {
		return 0, fault.New(fault.TableUnavailable, "reply lost")
	}

	return revision, err
}
