package server_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// editDocument sets version 2 of the test document with a change.
func editDocument(f *fixture, change func(doc *document.Document)) {
	doc := testDocument()
	doc.Version = 2
	change(doc)
	f.board.Document.Set(doc)
}

var revocations = []*rpc.Revocation{{Key: "k1"}}

// withdrawals are the events after which a request may no longer start, with the expected refusal.
var withdrawals = map[string]struct {
	withdraw func(f *fixture)
	kind     string
}{
	"key revoked": {func(f *fixture) {
		editDocument(f, func(doc *document.Document) { doc.Keys["k1"] = document.Key{Account: "a1", Revoked: true} })
	}, "refused key_revoked"},
	"revocation not yet committed": {func(f *fixture) {
		f.board.PendingRevocations.Set(map[string]board.Revocation{"k1": {Key: "k1"}})
	}, "refused key_revoked"},
	"revocation in a Hello": {func(f *fixture) {
		client, end := f.client()
		defer end()

		_, err := client.Hello(f.t.Context(), &rpc.HelloRequest{Entry: "e2", Revocations: revocations})
		assert.NilError(f.t, err)
	}, "refused key_revoked"},
	"revocation in another request": {func(f *fixture) {
		other := f.generate("other", "x")
		other.Key, other.Account, other.RemainingMs, other.Revocations = "k2", "a2", 1, revocations
		assert.Equal(f.t, f.run(other).kind(), "refused overloaded")
	}, "refused key_revoked"},
	"key of another account": {func(f *fixture) {
		editDocument(f, func(doc *document.Document) { doc.Keys["k1"] = document.Key{Account: "a2"} })
	}, "refused forbidden"},
	"key deleted": {func(f *fixture) {
		editDocument(f, func(doc *document.Document) { delete(doc.Keys, "k1") })
	}, "refused key_unknown"},
	"domain out": {func(f *fixture) {
		editDocument(f, func(doc *document.Document) { doc.Domains["d1"] = document.Domain{Out: true} })
	}, "refused draining"},
	"VM out": {func(f *fixture) {
		editDocument(f, func(doc *document.Document) { doc.VMs = map[string]document.VM{"v1": {Out: true}} })
	}, "refused draining"},
	"configuration not confirmed": {func(f *fixture) {
		f.source.stale.Store(true)
		time.Sleep(7 * time.Second)
	}, "refused stale_config"},
	"engine down": {func(f *fixture) {
		f.engine.locked(func() { f.engine.down = true })
		time.Sleep(2 * time.Second)
	}, "refused not_ready"},
}

// Guards against a queued request that starts although its key, the configuration or the backend server became invalid or
// unavailable while it waited.
func TestWithdrawnWhileQueued(t *testing.T) {
	for name, test := range withdrawals {
		t.Run(name, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				t := f.t

				f.engine.locked(func() { f.engine.eventTime = 2 * time.Second })

				running := []<-chan result{f.start(f.generate("r1", "x")), f.start(f.generate("r2", "x"))}
				time.Sleep(time.Second)

				queued := f.start(f.generate("q", "x"))
				time.Sleep(time.Second)
				test.withdraw(f)

				for _, r := range running {
					assert.Equal(t, (<-r).kind(), "done", "running requests complete")
				}

				assert.Equal(t, (<-queued).kind(), test.kind)
				f.engine.locked(func() { assert.Equal(t, len(f.engine.generated), 2) })
			})
		})
	}
}

// Guards against a request that starts although it must be refused on arrival.
func TestRefusedOnArrival(t *testing.T) {
	for name, test := range withdrawals {
		t.Run(name, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				t := f.t

				test.withdraw(f)
				f.handshake()

				request := f.generate("r1", "x")
				if name == "configuration not confirmed" {
					request.ConfigAgeMs = 5001
				}

				assert.Equal(t, f.run(request).kind(), test.kind)
				f.engine.locked(func() { assert.Equal(t, len(f.engine.generated), 0) })
			})
		})
	}
}

// Guards against requests that are accepted although they are malformed, outdated or meant for another process.
func TestRequestFields(t *testing.T) {
	tests := map[string]struct {
		change func(f *fixture, request *rpc.RunRequest)
		kind   string
	}{
		"valid":               {func(*fixture, *rpc.RunRequest) {}, "done"},
		"other boot id":       {func(_ *fixture, r *rpc.RunRequest) { r.Boot = "boot-0" }, "refused boot_changed"},
		"no ticket":           {func(_ *fixture, r *rpc.RunRequest) { r.Ticket = "" }, "refused ticket_expired"},
		"ticket of another":   {func(_ *fixture, r *rpc.RunRequest) { r.Entry = "e2" }, "refused ticket_expired"},
		"entry was paused":    {func(*fixture, *rpc.RunRequest) { time.Sleep(3 * time.Second) }, "refused ticket_expired"},
		"deadline passed":     {func(_ *fixture, r *rpc.RunRequest) { r.RemainingMs = 0 }, "refused overloaded"},
		"too short to load":   {func(_ *fixture, r *rpc.RunRequest) { r.RemainingMs = 100 }, "refused overloaded"},
		"no adapter":          {func(_ *fixture, r *rpc.RunRequest) { r.GetGenerate().Adapter = "" }, "refused invalid_request"},
		"call at an engine":   {func(f *fixture, r *rpc.RunRequest) { r.Work = f.call("", "").Work }, "refused invalid_request"},
		"stale entry":         {func(_ *fixture, r *rpc.RunRequest) { r.ConfigAgeMs = 5001 }, "refused stale_config"},
		"entry unconfirmed":   {func(_ *fixture, r *rpc.RunRequest) { r.ConfigAgeMs = -1 }, "refused stale_config"},
		"no key, keyed route": {func(_ *fixture, r *rpc.RunRequest) { r.Key, r.Route = "", "chat" }, "refused key_missing"},
		"no key, open route":  {func(_ *fixture, r *rpc.RunRequest) { r.Key, r.Route = "", "open" }, "done"},
		"newer version, cannot catch up": {func(_ *fixture, r *rpc.RunRequest) {
			r.ConfigVersion = 2
		}, "refused stale_config"},
		"newer version revokes": {func(f *fixture, r *rpc.RunRequest) {
			r.ConfigVersion = 2
			f.source.next = testDocument()
			f.source.next.Version = 2
			f.source.next.Keys["k1"] = document.Key{Account: "a1", Revoked: true}
		}, "refused key_revoked"},
		"resume of an unknown request": {func(_ *fixture, r *rpc.RunRequest) { r.Resume = 1 }, "failed interrupted"},
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				t := f.t

				request := f.generate("r1", "x")
				test.change(f, request)
				assert.Equal(t, f.run(request).kind(), test.kind)

				if test.kind != "done" {
					f.engine.locked(func() { assert.Equal(t, len(f.engine.generated), 0) })
				}
			})
		})
	}
}

// Guards against an entry's confirmation that is taken as newer than it is because of the transit time of its request.
func TestConfirmationInTransit(t *testing.T) {
	for age, kind := range map[int64]string{2000: "done", 4000: "refused stale_config"} {
		t.Run(kind, func(t *testing.T) {
			withAgent(t, false, func(f *fixture) {
				f.source.stale.Store(true)
				time.Sleep(7 * time.Second)
				f.handshake()
				time.Sleep(2 * time.Second)

				request := f.generate("r1", "x")
				request.ConfigAgeMs = age
				assert.Equal(f.t, f.run(request).kind(), kind)
			})
		})
	}
}

// Guards against a drain that cancels running or queued requests, or accepts new ones.
func TestDrain(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.eventTime = time.Second })

		results := make([]<-chan result, 0, 6)
		for i := range 6 {
			results = append(results, f.start(f.generate(fmt.Sprint("r", i), "x")))
		}

		time.Sleep(2 * time.Second)

		client, end := f.client()
		defer end()

		f.stop()
		time.Sleep(time.Second)
		assert.Assert(t, f.board.Draining.Value())

		stream, err := client.Run(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.generate("late", "x")}}))

		late := readResult(stream, -1)
		assert.Equal(t, late.kind(), "refused draining")
		assert.Assert(t, late.load.Draining)

		for _, r := range results {
			assert.Equal(t, (<-r).kind(), "done")
		}
	})
}

// Guards against requests that still wait when the drain timeout passes, and whose outcome is then unknown although they have not run (P13).
func TestRequestsThatWaitAtTheEndOfADrainAreRefused(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		// The drain timeout is a minute. Two requests may run at the same time.
		f.engine.locked(func() { f.engine.eventTime = 10 * time.Minute })

		results := make([]<-chan result, 0, 4)

		for i := range 4 {
			request := f.generate(fmt.Sprint("r", i), "x")
			request.RemainingMs = (20 * time.Minute).Milliseconds()
			results = append(results, f.start(request))
		}

		time.Sleep(2 * time.Second)
		f.stop()

		kinds := map[string]int{}
		for _, r := range results {
			kinds[(<-r).kind()]++
		}

		assert.Equal(t, kinds["refused draining"], 2, "%v", kinds)
	})
}

// Guards against an idle agent that ends while an entry that does not know of its drain sends a request, whose outcome is then unknown.
func TestIdleDrainRefusesLateRequests(t *testing.T) {
	withAgent(t, true, func(f *fixture) {
		t := f.t

		client, end := f.client()
		defer end()

		f.stop()
		time.Sleep(100 * time.Millisecond)

		stream, err := client.Run(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.call("late", "o1")}}))
		assert.Equal(t, readResult(stream, -1).kind(), "refused draining")
	})
}

// Guards against an agent that ends while a request, sent with the last valid ticket, is on its way: its outcome is unknown then, although
// it has not run (P13).
func TestRequestAtTheEndOfADrainIsRefused(t *testing.T) {
	// The last ticket is valid for 3 s after the start of the drain.
	cases := map[string]struct {
		// opened and sent are the times of the stream and of the request on it, from the start of the drain.
		opened, sent time.Duration
	}{
		"stream open, request on its way": {2900 * time.Millisecond, 3300 * time.Millisecond},
		"both on their way":               {3100 * time.Millisecond, 3100 * time.Millisecond},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withAgent(t, true, func(f *fixture) {
				client, end := f.client()
				defer end()

				f.stop()
				time.Sleep(c.opened)

				stream, err := client.Run(f.t.Context())
				assert.NilError(f.t, err)
				time.Sleep(c.sent - c.opened)
				assert.NilError(f.t, stream.Send(&rpc.RunUp{Body: &rpc.RunUp_Request{Request: f.call("late", "o1")}}))
				assert.Equal(f.t, readResult(stream, -1).kind(), "refused draining")
			})
		})
	}
}

// Guards against an account that gets too small a share because it declares more output tokens than it uses.
func TestFairnessByUse(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.eventTime = 50 * time.Millisecond })

		for i := range 40 {
			cautious, modest := f.generate(fmt.Sprint("cautious", i), "x"), f.generate(fmt.Sprint("modest", i), "x")
			cautious.Account, cautious.Key, cautious.Cost = "a2", "k2", 100
			f.start(cautious)
			f.start(modest)
		}

		time.Sleep(1500 * time.Millisecond)
		f.engine.locked(func() {
			count := 0

			for _, id := range f.engine.generated {
				if strings.HasPrefix(id, "cautious") {
					count++
				}
			}

			assert.Assert(t, len(f.engine.generated) >= 8 && len(f.engine.generated) <= 25, "%d requests were started", len(f.engine.generated))
			assert.Assert(t, 3*count >= len(f.engine.generated), "%d of %d", count, len(f.engine.generated))
		})
		time.Sleep(time.Minute)
	})
}

// Guards against an account that gets less than its share while another one sends five times as many requests.
func TestFairness(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.eventTime = 50 * time.Millisecond })

		results := make([]<-chan result, 0, 10)
		results = append(results, f.start(f.generate("w1", "x")), f.start(f.generate("w2", "x")))
		time.Sleep(300 * time.Millisecond)

		for i := range 40 {
			request := f.generate(fmt.Sprint("big", i), "x")
			request.Account, request.Key = "a2", "k2"
			f.start(request)
		}

		synctest.Wait()

		for i := range 8 {
			results = append(results, f.start(f.generate(fmt.Sprint("small", i), "x")))
		}

		for _, r := range results {
			assert.Equal(t, (<-r).kind(), "done")
		}

		// The two accounts alternate: 2 warm-up requests, 8 of each account, and up to 2 times 4 that ran before or with them.
		f.engine.locked(func() {
			count := len(f.engine.generated)
			assert.Assert(t, count <= 26, "%d requests were started: %v", count, f.engine.generated)
		})
		time.Sleep(20 * time.Second)
	})
}

// Guards against a refusal that is sent only at the deadline, so that the entry cannot report the request as not run.
func TestRefusedBeforeDeadline(t *testing.T) {
	withAgent(t, false, func(f *fixture) {
		t := f.t

		f.engine.locked(func() { f.engine.eventTime = 2 * time.Second })

		running := []<-chan result{f.start(f.generate("r1", "x")), f.start(f.generate("r2", "x"))}
		time.Sleep(time.Second)

		request := f.generate("q", "x")
		request.RemainingMs = 1000
		began := time.Now()

		assert.Equal(t, f.run(request).kind(), "refused overloaded")
		assert.Assert(t, time.Since(began) <= 950*time.Millisecond, "refused after %s", time.Since(began))

		for _, r := range running {
			assert.Equal(t, (<-r).kind(), "done")
		}
	})
}
