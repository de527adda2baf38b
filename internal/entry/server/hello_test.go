package server_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// Guards against agents that are not told of a revocation that is pending because the table is unavailable.
func TestPendingRevocationsReachAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		e.board.PendingRevocations.Set(map[string]board.Revocation{"key-2": {Key: "key-2", Change: "change-1"}})

		assert.Equal(t, e.do(t, "POST", "/v1/chat/completions", chatBody).status, 200)

		for name, got := range map[string][]*rpc.Revocation{"Hello": f.agents[0].helloRevocations, "Run": f.agents[0].requests[0].Revocations} {
			assert.Equal(t, len(got), 1, name)
			assert.Equal(t, got[0].Key, "key-2", name)
			assert.Equal(t, got[0].Change, "change-1", name)
		}
	})
}

// Guards against an agent that is not told of a revocation because the only request, an order, waits in its queue and no other
// message is sent.
func TestPendingRevocationsReachAgentOfQueuedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].run = func(a *agent, stream rpc.DRPCAgent_RunStream, request *rpc.RunRequest) error {
			time.Sleep(10 * time.Second)

			return a.respond(stream, request)
		}

		answered := make(chan reply, 1)

		go func() { answered <- e.do(t, "POST", "/press/orders", orderBody) }()

		time.Sleep(time.Second)
		e.board.PendingRevocations.Set(map[string]board.Revocation{"key-2": {Key: "key-2"}})
		time.Sleep(4 * time.Second)

		f.agents[0].mu.Lock()
		assert.Equal(t, len(f.agents[0].helloRevocations), 1)
		f.agents[0].mu.Unlock()
		assert.Equal(t, (<-answered).status, 201)
	})
}

// Guards against one Hello for each waiting request when an agent responds slowly.
func TestConcurrentHellosAreCoalesced(t *testing.T) {
	const calls = 20

	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "s1")
		e := f.start()
		f.agents[0].paused = make(chan struct{})

		var group sync.WaitGroup

		for range calls {
			group.Go(func() { assert.Check(t, e.do(t, "POST", "/v1/chat/completions", chatBody).status == 200) })
		}

		time.Sleep(100 * time.Millisecond)
		close(f.agents[0].paused)
		group.Wait()
		assert.Equal(t, f.agents[0].hellos, 1)
	})
}
