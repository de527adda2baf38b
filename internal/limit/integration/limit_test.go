package integration_test

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

func TestMain(m *testing.M) {
	logrus.SetLevel(logrus.ErrorLevel)

	// Each run of a randomised test takes minutes of virtual time, so fewer runs than the default are made.
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}

	flag.Parse()
	os.Exit(m.Run())
}

// Guards against an account that cannot use its whole burst through one entry, or can use more than its burst.
func TestOneEntryGetsTheWholeBurstAndNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 80, 1000, 2)
		defer f.stop()

		first := f.startAll("a", "b", "c")[0]

		_, err := first.ledger.Debit(context.Background(), account, 1001)
		assert.Assert(t, fault.Is(err, fault.TooLarge), "%v", err)

		charge, err := first.ledger.Debit(context.Background(), account, 1000)
		assert.NilError(t, err)

		_, err = first.ledger.Debit(context.Background(), account, 100)
		assert.Assert(t, fault.Is(err, fault.RateLimited), "%v", err)
		time.Sleep(fault.FromError(err).RetryDelay())

		_, err = first.ledger.Debit(context.Background(), account, 100)
		assert.NilError(t, err)

		first.ledger.Refund(charge, 600)
		time.Sleep(time.Second)

		_, err = first.ledger.Debit(context.Background(), account, 600)
		assert.NilError(t, err)
	})
}

// Guards against a share that is lost when its holder ends, or that is spent by both the old and the new holder.
func TestShareMovesOnlyAfterItsHolderHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		f.start("vm-spare", "c")
		f.kill(entries[2])
		time.Sleep(convergeTime)
		assert.Equal(t, entries[0].board.Shares.Value()[account].Epoch, int64(1), "a missing reply must not replace a holder")

		f.unlistVM("vm-c")
		f.syncBoards()
		time.Sleep(convergeTime)

		row := entries[0].board.Shares.Value()[account]
		assert.Equal(t, row.Epoch, int64(2))
		assert.Equal(t, len(row.Holders), 3)

		for _, e := range f.running() {
			if e.self.VM == "vm-spare" {
				level, capacity, ok := e.holder.Level(account)
				assert.Assert(t, ok && level < capacity/2, "level %d of %d", level, capacity)
			}
		}
	})
}

// Guards against holders that stop serving debits when the table is unavailable.
func TestHoldersServeDuringATableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		f.table.setFaults(true, 0)
		time.Sleep(time.Hour)

		_, err := entries[0].ledger.Debit(context.Background(), account, 900)
		assert.NilError(t, err)
	})
}

// Guards against a frozen holder that makes every debit fail, or whose late replies are counted.
func TestFrozenHolderBlocksOnlyItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		entries[2].freeze()

		for range 6 {
			_, err := entries[0].ledger.Debit(context.Background(), account, 100)
			assert.NilError(t, err)
		}

		entries[2].thaw()
		time.Sleep(convergeTime)

		level, capacity, _ := entries[2].holder.Level(account)
		assert.Equal(t, level, capacity, "an abandoned debit must be refunded")
	})
}

// Guards against a share that stays reserved although another process replies at its holder's address.
func TestSuccessorTakesTheShareOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		f.kill(entries[2])
		next := f.start("vm-c", "c")
		time.Sleep(convergeTime)

		level, capacity, ok := next.holder.Level(account)
		assert.Assert(t, ok && level < capacity, "level %d of %d", level, capacity)
	})
}
