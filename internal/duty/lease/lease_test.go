package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/lease"
)

const (
	// clock is the store's clock and local the local time of the answers of the tests, which took latency.
	clock   = 1000 * time.Second
	local   = 50 * time.Second
	latency = 20 * time.Millisecond
	tenure  = 3 * time.Second
	waits   = lease.Duration + lease.ExpiryMargin
)

var (
	self  = lease.Holder{VM: "vm-1", Process: "p-1"}
	other = lease.Holder{VM: "vm-2", Process: "p-2"}
)

// answer returns an answer at a time after local.
func answer(after time.Duration, era int64, row *lease.Row, version int64) lease.Answer {
	return lease.Answer{Requested: local + after - latency, Answered: local + after, Clock: clock + after, Era: era, Row: row, Version: version}
}

// Guards against a lease that is taken before its holder has lost it, or not at all, and against holders in the order A, B, A.
func TestTakeAt(t *testing.T) {
	held := func(holder lease.Holder, left time.Duration, former ...lease.Former) *lease.Row {
		return &lease.Row{Holder: holder, Fence: 5, Expires: clock + left, Former: former}
	}

	full := make([]lease.Former, 8)
	for i := range full {
		full[i] = lease.Former{VM: "vm-9", LostAt: clock + time.Duration(i)*time.Millisecond}
	}

	cases := map[string]struct {
		firstStart bool
		answers    []lease.Answer
		want       time.Duration
	}{
		"never written":                        {answers: []lease.Answer{answer(0, 0, nil, 0)}, want: -local},
		"missing in a store that was restored": {answers: []lease.Answer{answer(0, 1, nil, 0)}, want: waits},
		"missing at the first start":           {firstStart: true, answers: []lease.Answer{answer(0, 1, nil, 0)}, want: -local},
		"missing after a restore since the first start": {
			firstStart: true, answers: []lease.Answer{answer(0, 1, nil, 0), answer(time.Second, 2, nil, 0)}, want: time.Second + waits,
		},
		"held":                     {answers: []lease.Answer{answer(0, 0, held(other, 4*time.Second), 7)}, want: 4*time.Second + lease.ExpiryMargin},
		"expired":                  {answers: []lease.Answer{answer(0, 0, held(other, -9*time.Second), 7)}, want: -9*time.Second + lease.ExpiryMargin},
		"held by the same VM name": {answers: []lease.Answer{answer(0, 0, held(lease.Holder{VM: self.VM, Process: "p-0"}, 0), 7)}, want: lease.ExpiryMargin},
		"renewed": {
			answers: []lease.Answer{answer(0, 0, held(other, 4*time.Second), 7), answer(time.Second, 0, held(other, 8*time.Second), 8)},
			want:    8*time.Second + lease.ExpiryMargin,
		},
		"clock of the store set back": {answers: []lease.Answer{answer(0, 0, held(other, time.Hour), 7)}, want: waits},
		"of an earlier era": {
			answers: []lease.Answer{answer(0, 1, held(other, -time.Hour), 7), answer(2*time.Second, 1, held(other, -time.Hour), 7)}, want: waits,
		},
		"of an earlier era after two restores": {
			answers: []lease.Answer{answer(0, 1, held(other, -time.Hour), 7), answer(2*time.Second, 2, held(other, -time.Hour), 7)},
			want:    2*time.Second + waits,
		},
		"held before by the same VM name": {
			answers: []lease.Answer{answer(0, 0, held(other, time.Second, lease.Former{VM: self.VM, LostAt: clock - time.Second}), 7)},
			want:    -time.Second + tenure + lease.ExpiryMargin,
		},
		"held before by a third VM": {
			answers: []lease.Answer{answer(0, 0, held(other, time.Second, lease.Former{VM: "vm-3", LostAt: clock}), 7)}, want: time.Second + lease.ExpiryMargin,
		},
		"too many holders": {answers: []lease.Answer{answer(0, 0, held(other, 0, full...), 7)}, want: tenure + lease.ExpiryMargin},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := lease.Lease{Self: self, MinTenure: tenure, FirstStart: c.firstStart}
			for _, a := range c.answers {
				l.Observe(a)
			}

			assert.Equal(t, l.TakeAt()-local, c.want)
			assert.Equal(t, l.Left(local), time.Duration(0))

			if at := l.TakeAt(); at > local {
				_, ok := l.Next(at-time.Millisecond, lease.Content{})
				assert.Assert(t, !ok, "the lease may be taken early")
			}
		})
	}
}

// taken returns a lease that this process has taken at local, of a row that another one held.
func taken(t *testing.T) *lease.Lease {
	t.Helper()

	l := &lease.Lease{Self: self, MinTenure: tenure}
	l.Observe(answer(0, 0, &lease.Row{Holder: other, Fence: 5, Expires: clock - time.Second}, 7))

	write, ok := l.Next(local, lease.Content{NextWindow: 3})
	assert.Assert(t, ok)
	assert.Equal(t, write.Row.Fence, int64(8))
	assert.Equal(t, write.Expected, int64(7))
	assert.DeepEqual(t, write.Row.Former, []lease.Former{{VM: other.VM, LostAt: clock - time.Second}})
	l.Confirm(write, lease.Answer{Requested: local, Answered: local + latency, Clock: clock + latency, Version: 8})

	return l
}

// Guards against a holder that acts after its lease may have expired, and against a fencing token that changes or falls while it holds it.
func TestHolderRenews(t *testing.T) {
	l := taken(t)
	assert.Equal(t, l.Left(local+time.Second), lease.Duration-time.Second)
	assert.Equal(t, l.Left(local+lease.Duration), time.Duration(0))

	later := local + 5*time.Second
	write, ok := l.Next(later, lease.Content{NextWindow: 4})
	assert.Assert(t, ok)
	assert.Equal(t, write.Row.Fence, int64(8))
	assert.Equal(t, l.Left(later), 2*time.Second, "a write that is under way does not prolong the lease")
	assert.Assert(t, write.Row.Expires >= clock+5*time.Second+lease.Duration)

	l.Confirm(write, lease.Answer{Requested: later, Answered: later + latency, Clock: clock + 5*time.Second, Version: 9})
	assert.Equal(t, l.Left(later), lease.Duration)
}

// Guards against a write whose response was lost and that is taken for one that took no effect, or the other way round.
func TestLostResponse(t *testing.T) {
	renewed := local + 5*time.Second

	cases := map[string]struct {
		// read is what is read after the write.
		read func(written lease.Row) lease.Answer
		left time.Duration
		own  bool
	}{
		"took effect": {
			func(written lease.Row) lease.Answer { return answer(6*time.Second, 0, &written, 9) }, lease.Duration - time.Second, true,
		},
		"took no effect": {
			func(written lease.Row) lease.Answer {
				written.Write--
				return answer(6*time.Second, 0, &written, 8)
			}, time.Second, true,
		},
		"another one holds the lease": {
			func(written lease.Row) lease.Answer {
				written.Holder = other
				return answer(6*time.Second, 0, &written, 9)
			}, 0, false,
		},
		"took effect after a restore, in which case others count from the restore": {
			func(written lease.Row) lease.Answer { return answer(6*time.Second, 1, &written, 9) }, time.Second, true,
		},
		"is missing after a restore": {
			func(lease.Row) lease.Answer { return answer(6*time.Second, 1, nil, 0) }, 0, false,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := taken(t)
			write, ok := l.Next(renewed, lease.Content{})
			assert.Assert(t, ok)
			l.Fail()

			_, ok = l.Next(renewed, lease.Content{})
			assert.Assert(t, !ok, "the row is not known")

			lost := l.Observe(c.read(write.Row))
			assert.Equal(t, lost, !c.own)
			assert.Equal(t, l.IsOwn(), c.own)
			assert.Equal(t, l.Left(renewed+time.Second), c.left)
		})
	}
}

// Guards against a fencing token that is not higher after a restore of the store from an older copy, for a holder whose lease is running as well as
// for one that takes it.
func TestFenceAfterRestore(t *testing.T) {
	l := taken(t)
	old := &lease.Row{Holder: self, Write: 0, Fence: 2, Expires: clock}
	l.Observe(answer(3*time.Second, 1, old, 4))

	write, ok := l.Next(local+3*time.Second, lease.Content{})
	assert.Assert(t, ok, "a lease that is running goes on in the next era")
	assert.Equal(t, write.Row.Fence, int64(8))
	assert.Equal(t, write.Row.Era, int64(1))

	l = taken(t)
	l.Observe(answer(6*time.Second, 1, old, 4))

	_, ok = l.Next(local+6*time.Second, lease.Content{})
	assert.Assert(t, !ok, "too little of the lease is left for a write")

	l.Observe(answer(6*time.Second+waits, 1, old, 4))

	write, ok = l.Next(local+6*time.Second+waits, lease.Content{})
	assert.Assert(t, ok)
	assert.Equal(t, write.Row.Fence, int64(1<<32+5))
}

// Guards against calls with the token of an earlier tenure of this process, if the store is restored from a copy of that time during a later one.
func TestFenceOfAnEarlierTenure(t *testing.T) {
	l := taken(t)
	first := *l.Row()

	l.Observe(answer(10*time.Second, 0, &lease.Row{Holder: other, Fence: 9, Expires: clock + 10*time.Second}, 9))

	write, ok := l.Next(local+11*time.Second, lease.Content{})
	assert.Assert(t, ok)
	l.Confirm(write, answer(11*time.Second, 0, nil, 10))
	assert.Equal(t, l.Fence(), int64(10))

	l.Observe(answer(12*time.Second, 1, &first, 8))
	assert.Assert(t, l.Left(local+12*time.Second) > 0)
	assert.Equal(t, l.Fence(), int64(10))
}

// Guards against a write at a version that was read long ago: a restored store gives it out again, possibly to another holder.
func TestVersionReadLongAgoIsReadAgain(t *testing.T) {
	l := taken(t)
	late := local + lease.Duration + time.Second

	_, ok := l.Next(late, lease.Content{})
	assert.Assert(t, !ok)
	assert.Assert(t, !l.Known())
}

// Guards against a lease that is held on after its release, or released although another one may hold it.
func TestRelease(t *testing.T) {
	l := taken(t)
	write, ok := l.Release(local+time.Second, lease.Content{NextWindow: 3})
	assert.Assert(t, ok)
	assert.Equal(t, l.Left(local+time.Second), time.Duration(0))
	assert.Assert(t, write.Row.Expires <= clock+time.Second+latency)
	assert.Equal(t, write.Row.Content.NextWindow, int64(3))

	_, ok = taken(t).Release(local+lease.Duration, lease.Content{})
	assert.Assert(t, !ok, "the lease has expired")
}

// Guards against a lease that seems to be expired because an answer to a write does not state the store's clock.
func TestAnswerWithoutClock(t *testing.T) {
	l := taken(t)
	write, ok := l.Next(local+5*time.Second, lease.Content{})
	assert.Assert(t, ok)
	l.Confirm(write, lease.Answer{Requested: local + 5*time.Second, Answered: local + 5*time.Second + latency, Version: 9})

	write, ok = l.Next(local+10*time.Second, lease.Content{})
	assert.Assert(t, ok)
	assert.Assert(t, write.Row.Expires >= clock+10*time.Second+lease.Duration)
}
