package play

import (
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Row holds the results of one policy on one load, by seed.
type Row struct {
	Load   string
	Policy string
	Seeds  []*Result
}

// Run plays every policy on every load with all seeds, several at a time. It calls progress after each run with the number
// of runs that have ended.
func Run(experiment Experiment, progress func(ended, all int)) []Row {
	rows := make([]Row, 0, len(experiment.Loads)*len(experiment.Policies))

	for _, load := range experiment.Loads {
		for _, name := range experiment.Policies {
			rows = append(rows, Row{Load: load.Name, Policy: name, Seeds: make([]*Result, experiment.Seeds)})
		}
	}

	var (
		group sync.WaitGroup
		ended atomic.Int64
		free  = make(chan struct{}, runtime.GOMAXPROCS(0))
	)

	for i := range rows {
		load := &experiment.Loads[i/len(experiment.Policies)]

		for seed := range experiment.Seeds {
			free <- struct{}{}

			group.Go(func() {
				rows[i].Seeds[seed] = play(load, policies[rows[i].Policy], uint64(seed+1))
				progress(int(ended.Add(1)), len(rows)*experiment.Seeds)
				<-free
			})
		}
	}

	group.Wait()

	return rows
}

// figure is a column of the table.
type figure struct {
	name  string
	value func(r *Result) float64
	// digits is the number of digits after the point.
	digits int
}

var figures = []figure{
	{"on time %", func(r *Result) float64 { return 100 * r.OnTime }, 1},
	{"late %", func(r *Result) float64 { return 100 * r.Late }, 1},
	{"refused %", func(r *Result) float64 { return 100 * r.Refused }, 1},
	{"failed %", func(r *Result) float64 { return 100 * r.Failed }, 1},
	{"worst 2 s %", func(r *Result) float64 { return 100 * r.Worst }, 1},
	{"first p50 ms", func(r *Result) float64 { return float64(r.Median.Milliseconds()) }, 0},
	{"first p99 ms", func(r *Result) float64 { return float64(r.Tail.Milliseconds()) }, 0},
	{"fetches", func(r *Result) float64 { return float64(r.Fetches) }, 0},
}

// Mean returns the mean and the spread (largest less smallest) of a figure over the seeds.
func (r *Row) mean(of figure) (mean, spread float64) {
	lowest, highest := of.value(r.Seeds[0]), of.value(r.Seeds[0])

	for _, result := range r.Seeds {
		value := of.value(result)
		mean += value / float64(len(r.Seeds))
		lowest, highest = min(lowest, value), max(highest, value)
	}

	return mean, highest - lowest
}

func write(to io.Writer, text string) error {
	_, err := io.WriteString(to, text)

	return errors.Wrap(err, "write table")
}
