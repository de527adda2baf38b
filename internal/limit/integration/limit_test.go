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

	// Each of the randomised runs here lasts minutes of virtual time.
	if err := flag.Set("rapid.checks", "15"); err != nil {
		panic(err)
	}

	flag.Parse()
	os.Exit(m.Run())
}

// Guards against an account that cannot use its whole burst through one entry, or gets more than it.
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
		time.Sleep(fault.Of(err).Retry())

		_, err = first.ledger.Debit(context.Background(), account, 100)
		assert.NilError(t, err)

		first.ledger.Refund(charge, 600)
		time.Sleep(time.Second)

		_, err = first.ledger.Debit(context.Background(), account, 600)
		assert.NilError(t, err)
	})
}

// Guards against a share that is lost with its entry, or spent by both the old and the new holder.
func TestShareMovesOnlyAfterItsHolderIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		f.start("vm-spare", "c")
		f.kill(entries[2])
		time.Sleep(settle)
		assert.Equal(t, entries[0].board.Shares.Value()[account].Epoch, int64(1), "no answer proves nothing")

		f.unlist("vm-c")
		f.gossip()
		time.Sleep(settle)

		row := entries[0].board.Shares.Value()[account]
		assert.Equal(t, row.Epoch, int64(2))
		assert.Equal(t, len(row.Holders), 3)

		for _, e := range f.running() {
			if e.self.VM == "vm-spare" {
				level, size, ok := e.holder.Level(account)
				assert.Assert(t, ok && level < size/2, "level %d of %d", level, size)
			}
		}
	})
}

// Guards against serving through table outages only while the table answers.
func TestHoldersServeDuringATableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		f.table.set(true, 0)
		time.Sleep(time.Hour)

		_, err := entries[0].ledger.Debit(context.Background(), account, 900)
		assert.NilError(t, err)
	})
}

// Guards against a frozen holder that makes every debit fail, or whose late replies are counted.
func TestAFrozenHolderCostsOnlyItsShare(t *testing.T) {
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
		time.Sleep(settle)

		level, size, _ := entries[2].holder.Level(account)
		assert.Equal(t, level, size, "a debit that was given up must be given back")
	})
}

// Guards against a share that stays reserved although a successor answers at its holder's address.
func TestSuccessorTakesTheShareOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 100, 900, 1)
		defer f.stop()

		entries := f.startAll("a", "b", "c")
		f.kill(entries[2])
		next := f.start("vm-c", "c")
		time.Sleep(settle)

		level, size, ok := next.holder.Level(account)
		assert.Assert(t, ok && level < size, "level %d of %d", level, size)
	})
}
