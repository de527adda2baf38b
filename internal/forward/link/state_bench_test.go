package link

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// benchmarkAdapters is the number of adapters that a server holds in the benchmarks of state messages.
const benchmarkAdapters = 400

// BenchmarkStateOfChangedAdapter measures what an entry does with the message of one agent about a change of one adapter: decoding and taking
// it into the state of the link. Agents of the previous version send the full list.
func BenchmarkStateOfChangedAdapter(b *testing.B) {
	full := &relay.State{Ready: true, Models: []string{"m0"}}
	for n := range benchmarkAdapters {
		full.Adapters = append(full.Adapters, &relay.Adapter{Model: "m0", Name: fmt.Sprintf("adapter-%03d", n), Version: 3})
	}

	changes := &relay.State{
		Ready: true, Models: []string{"m0"}, Partial: true,
		Adapters: []*relay.Adapter{{Model: "m0", Name: fmt.Sprintf("adapter-%03d", benchmarkAdapters/2), Version: 4}},
	}

	for name, message := range map[string]*relay.State{"full list": full, "changes": changes} {
		b.Run(name, func(b *testing.B) {
			agent := &link{id: "a"}
			log := logrus.New()
			log.SetOutput(io.Discard)

			l := &Links{Log: log, links: map[string]*link{agent.id: agent}}
			l.replaceState(agent, full)

			data, err := proto.Marshal(message)
			if err != nil {
				b.Fatal(err)
			}

			for b.Loop() {
				received := &relay.State{}
				if err := proto.Unmarshal(data, received); err != nil {
					b.Fatal(err)
				}

				l.replaceState(agent, received)
			}

			b.ReportMetric(float64(len(data)), "bytes/message")
		})
	}
}
