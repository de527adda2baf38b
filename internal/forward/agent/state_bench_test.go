package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/publish"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/schedule"
)

// benchmarkAdapters is the number of adapters that a server holds in the benchmarks of state messages.
const benchmarkAdapters = 400

// BenchmarkStateOfChangedAdapter measures the message to one entry after a change of one adapter: the choice of its parts, the message and its
// encoding. Entries of the previous version get the full list.
func BenchmarkStateOfChangedAdapter(b *testing.B) {
	for name, w := range map[string]*watcher{"full list": {}, "changes": {changes: true}} {
		b.Run(name, func(b *testing.B) {
			var (
				a         Agent
				publisher publish.Publisher
				length    int
			)

			states := [2]schedule.State{{Ready: true, Models: []string{"m0"}}, {Ready: true, Models: []string{"m0"}}}
			for n := range benchmarkAdapters {
				held := schedule.HeldAdapter{Adapter: schedule.Adapter{Model: "m0", Name: fmt.Sprintf("adapter-%03d", n)}, Version: 3}
				states[0].Adapters = append(states[0].Adapters, held)
			}

			states[1].Adapters = slices.Clone(states[0].Adapters)
			states[1].Adapters[benchmarkAdapters/2].Version++

			publisher.Record(time.Now(), publish.Content{State: states[1]})

			for n := 0; b.Loop(); n++ {
				state := states[n%2]

				data, err := proto.Marshal(a.stateMessage(state, w, publisher.Record(time.Now(), publish.Content{State: state})))
				if err != nil {
					b.Fatal(err)
				}

				length = len(data)
			}

			b.ReportMetric(float64(length), "bytes/message")
		})
	}
}
