package memory_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
)

// Guards against reservations that together exceed their budget, and against memory that stays reserved after its release.
func TestReservationsStayWithinTheirBudget(t *testing.T) {
	budget := &memory.Budget{Limit: 100}
	first, second := memory.Reservation{Budget: budget, Free: 10}, memory.Reservation{Budget: budget, Free: 10}

	assert.Assert(t, first.Resize(70))
	assert.Assert(t, !second.Resize(60), "more than the limit")
	assert.Equal(t, budget.Used(), int64(60))
	assert.Assert(t, second.Resize(10), "what is free needs no budget")
	assert.Assert(t, first.Resize(30))
	assert.Assert(t, second.Resize(60))
	assert.Equal(t, budget.Used(), int64(70))
	first.Release()
	second.Release()
	assert.Equal(t, budget.Used(), int64(0))
}

// Guards against a lost update of the budget.
func TestConcurrentReservations(t *testing.T) {
	budget := &memory.Budget{Limit: 50}

	var group sync.WaitGroup

	for range 8 {
		group.Go(func() {
			reservation := memory.Reservation{Budget: budget}

			for size := range int64(1000) {
				reservation.Resize(size % 20)
				assert.Check(t, budget.Used() >= 0)
			}

			reservation.Release()
		})
	}

	group.Wait()
	assert.Equal(t, budget.Used(), int64(0))
}

// Guards against calls that fail although no budget is set.
func TestReservationWithoutABudget(t *testing.T) {
	var reservation memory.Reservation

	assert.Assert(t, reservation.Resize(1<<40))
	reservation.Release()
}

// Guards against a reservation that is refused although there is memory for it, because another one that is too large is being refused at the same time.
func TestRefusedReservationTakesNothing(t *testing.T) {
	const tries = 200_000

	budget := &memory.Budget{Limit: 100}
	refused := 0

	var group sync.WaitGroup

	stop := make(chan struct{})

	group.Go(func() {
		large := memory.Reservation{Budget: budget}

		for {
			select {
			case <-stop:
				return
			default:
				large.Resize(101)
			}
		}
	})

	small := memory.Reservation{Budget: budget}

	for range tries {
		if !small.Resize(10) {
			refused++
		}

		small.Release()
	}

	close(stop)
	group.Wait()
	assert.Equal(t, refused, 0, "of %d", tries)
	assert.Equal(t, budget.Used(), int64(0))
}
