package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/origin"
)

// recordedOrigins knows the begins of some streams, and keeps what is recorded.
type recordedOrigins struct {
	known    map[string]origin.Begin
	recorded chan string
}

func (r recordedOrigins) Find(_ context.Context, attempt string) (origin.Begin, bool) {
	begin, ok := r.known[attempt]

	return begin, ok
}

func (r recordedOrigins) Record(attempt string, _ origin.Begin) { r.recorded <- attempt }

// Guards against a stream that goes on at a server of another version than the one that began it (ORDER), and against one that is refused
// although its version is known (LOST).
func TestServersThatMayContinueAStream(t *testing.T) {
	servers := []fleet.Server{
		{ID: "a", Service: "s", Version: "v1", StartedAt: 5}, {ID: "b", Service: "s", Version: "v2", StartedAt: 6},
	}
	known := map[string]origin.Begin{
		"at-v1":       {Server: "a", StartedAt: 5, Version: "v1", Known: true},
		"at-v3":       {Server: "c", StartedAt: 7, Version: "v3", Known: true},
		"later-row":   {Server: "b", StartedAt: 6},
		"earlier-run": {Server: "b", StartedAt: 4},
	}

	cases := map[string]struct {
		resumes string
		last    int64
		want    []string
	}{
		"new stream":                                   {last: message.NoEventID, want: []string{"a", "b"}},
		"began at v1":                                  {resumes: "at-v1", last: 3, want: []string{"a"}},
		"no server of the version":                     {resumes: "at-v3", last: 3},
		"the row came after the first event":           {resumes: "later-row", last: 3, want: []string{"b"}},
		"the process under the id is another one":      {resumes: "earlier-run", last: 3},
		"nobody knows the stream":                      {resumes: "unknown", last: 3},
		"the client names events but no first attempt": {last: 3},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEntry(nil)
			e.Fleet.Put(servers...)
			e.Origins = recordedOrigins{known: known}

			j := testJob(catalog.Resumable)
			j.request.Resumes, j.request.LastEventID = c.resumes, c.last
			e.takeUp(t.Context(), j)

			got, err := e.ofRequiredVersion(j, append([]fleet.Server(nil), servers...))
			if c.want == nil {
				assert.Equal(t, err.Kind, fault.NoServer)
				return
			}

			assert.Assert(t, err == nil)

			var ids []string
			for _, server := range got {
				ids = append(ids, server.ID)
			}

			assert.DeepEqual(t, ids, c.want)
		})
	}
}

// Guards against a begin that stays unknown although a server has gone on with the stream.
func TestServerThatGoesOnTellsTheVersion(t *testing.T) {
	e := testEntry(nil)
	j := testJob(catalog.Resumable)
	j.bound = true

	e.recordBegin(j, fleet.Server{ID: "a", Service: "s", Version: "v1", StartedAt: 5}, 5)

	begin, ok := e.origins.Get(time.Now(), "r")
	assert.Assert(t, ok)
	assert.Assert(t, begin.Known)
	assert.Equal(t, begin.Version, "v1")
}

// Guards against a begin that no other entry can find: that of a stream which this entry broke off, and that of a stream at a service without
// agents.
func TestBeginsAreSharedWhereAgentsDoNotKnowThem(t *testing.T) {
	server := fleet.Server{ID: "a", Service: "s", Version: "v1"}

	cases := map[string]func(e *Entry, j *job){
		"broken off": func(e *Entry, j *job) {
			j.responseStarted, j.eventStream = true, true
			e.recordBegin(j, server, 0)
			e.fail(t.Context(), j, fault.New(fault.OutcomeUnknown, "broken off"))
		},
		"service without agents": func(e *Entry, j *job) {
			j.service.Engine = nil
			e.recordBegin(j, server, 0)
		},
	}

	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			origins := recordedOrigins{recorded: make(chan string, 1)}
			e := testEntry(nil)
			e.Origins = origins

			j := testJob(catalog.Resumable)
			j.sink = &brokenSink{}
			begin(e, j)

			select {
			case attempt := <-origins.recorded:
				assert.Equal(t, attempt, "r")
			case <-time.After(time.Second):
				t.Fatal("the begin is not shared")
			}
		})
	}
}

// Guards against a stream that goes on at another service of its route, since each attempt of a client has an id of its own.
func TestStreamStaysWithItsService(t *testing.T) {
	route := catalog.Route{Stream: true, Targets: []catalog.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	config := catalog.New(1, nil, []catalog.Service{{Name: "a"}, {Name: "b"}}, nil, catalog.Limits{})

	for i := range 20 {
		first := &message.Request{ID: fmt.Sprint("first", i), LastEventID: message.NoEventID}
		second := &message.Request{ID: fmt.Sprint("second", i), Resumes: first.ID, LastEventID: 3}

		assert.Equal(t, newJob(second, route, config).service.Name, newJob(first, route, config).service.Name)
	}
}

// Guards against a version that an entry which is cut off from the list takes for the only one, while others know servers of another version
// (ORDER).
func TestSoleVersionOfAnOldList(t *testing.T) {
	cases := map[string]struct {
		age     time.Duration
		known   bool
		resumes string
		sole    bool
	}{
		"fresh":           {age: time.Second, known: true, resumes: "first", sole: true},
		"old":             {age: 3 * time.Second, known: true, resumes: "first"},
		"never confirmed": {resumes: "first"},
		"old, and the client names no first attempt": {age: 3 * time.Second, known: true, sole: true},
		"not current, and the client names none":     {age: time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEntry(nil)
			e.Fleet.FromStart = true
			e.Fleet.Put(fleet.Server{ID: "a", Service: "s", Version: "v1"})
			e.ListAge = func() (time.Duration, bool) { return c.age, c.known }

			j := testJob(catalog.Resumable)
			j.request.Resumes, j.request.LastEventID = c.resumes, 3

			_, sole := e.soleVersion(j)
			assert.Equal(t, sole, c.sole)
		})
	}
}
