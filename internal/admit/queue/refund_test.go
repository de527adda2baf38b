package queue_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
)

// Guards against an account that declares far more tokens than it uses and therefore gets less than its share.
func TestDeclaredMoreThanUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest, used = 1000, 10

		declared := map[string]int64{"modest": used, "cautious": rapid.Int64Range(used, largest).Draw(t, "declared")}
		parallel := rapid.IntRange(1, 8).Draw(t, "parallel")
		q := &queue.Queue{Limit: 1 << 20}

		for i := range 400 {
			for _, account := range []string{"modest", "cautious"} {
				_, err := q.Push(now, item(fmt.Sprint(account, i), account, 0, declared[account]), queue.Throughput{})
				assert.NilError(t, err)
			}
		}

		served := map[string]int64{}

		var running []*queue.Item

		for range 200 {
			next := q.Pop()
			served[next.Account] += used
			running = append(running, next)

			if len(running) >= parallel {
				q.RefundUnused(running[0], used)
				running = running[1:]
			}
		}

		// While its requests run, an account is charged their declared costs, so it may lag behind by these.
		lag := int64(parallel)*declared["cautious"] + used
		assert.Assert(t, served["modest"]-served["cautious"] <= lag, "%v", served)
		assert.Assert(t, served["cautious"]-served["modest"] <= lag, "%v", served)

		if parallel == 1 {
			assert.Assert(t, served["cautious"] >= served["modest"]-2*used, "%v", served)
		}
	})
}

// Guards against credit for a request of an earlier busy period: the account could use it to displace others later.
func TestNoCreditAcrossIdleTime(t *testing.T) {
	q := &queue.Queue{Limit: 1 << 20}
	push := func(id, account string, cost int64) {
		_, err := q.Push(now, item(id, account, 0, cost), queue.Throughput{})
		assert.NilError(t, err)
	}

	push("early", "idle", 1000)
	early := q.Pop()

	// The other account is served until the virtual time has passed the charge.
	for i := range 300 {
		push(fmt.Sprint("other", i), "busy", 10)
	}

	for range 200 {
		assert.Equal(t, q.Pop().Account, "busy")
	}

	for i := range 100 {
		push(fmt.Sprint("late", i), "idle", 10)
	}

	q.RefundUnused(early, 1)

	served := map[string]int{}
	for range 100 {
		served[q.Pop().Account]++
	}

	assert.Assert(t, served["idle"] <= 51, "%v", served)
}
