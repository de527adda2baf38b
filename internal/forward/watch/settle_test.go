package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
)

// Guards against a copy of the store that counts as a confirmation of the configuration: a key that was taken away while the store could not
// be read, and whose configuration the copy lacks, worked for longer than it may (soak seed 143).
func TestCopyOfTheStoreConfirmsNothingAtFirst(t *testing.T) {
	run(t, watch.Operator, time.Second, 0, func(f *fixture) {
		f.source.put(watch.ConfigChanged{Config: &catalog.Config{Version: 1}})
		time.Sleep(2 * time.Second)

		f.source.set(func(s *source) { s.refuse = true })
		time.Sleep(time.Second)
		// The operator writes version 2, which the copy lacks.
		f.source.set(func(s *source) {
			s.refuse = false
			s.era++
		})
		time.Sleep(1500 * time.Millisecond)

		age, _ := f.tracker.SharedAge()
		assert.Check(t, age >= 2500*time.Millisecond, "the copy confirms the configuration, age %s", age)
		assert.Equal(t, f.tracker.FailingFor(), time.Duration(0))

		time.Sleep(3 * time.Second)

		age, _ = f.tracker.SharedAge()
		assert.Check(t, age <= 1100*time.Millisecond, "age %s", age)
	})
}
