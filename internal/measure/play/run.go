package play

import (
	"io"
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Row holds the results of one policy on one workload, by seed.
type Row struct {
	Workload string
	Policy   string
	Results  []*Result
}

// Run simulates every policy on every workload with all seeds, several runs at a time. After each run it calls progress with
// the number of completed runs; the calls may be concurrent.
func Run(experiment Experiment, progress func(completed, total int)) []Row {
	rows := make([]Row, 0, len(experiment.Workloads)*len(experiment.Policies))

	for _, workload := range experiment.Workloads {
		for _, name := range experiment.Policies {
			rows = append(rows, Row{Workload: workload.Name, Policy: name, Results: make([]*Result, experiment.Seeds)})
		}
	}

	var (
		group     sync.WaitGroup
		completed atomic.Int64
		semaphore = make(chan struct{}, runtime.GOMAXPROCS(0))
	)

	for i := range rows {
		workload := &experiment.Workloads[i/len(experiment.Policies)]

		for seed := range experiment.Seeds {
			semaphore <- struct{}{}

			group.Go(func() {
				rows[i].Results[seed] = simulate(workload, policies[rows[i].Policy], uint64(seed+1))
				progress(int(completed.Add(1)), len(rows)*experiment.Seeds)
				<-semaphore
			})
		}
	}

	group.Wait()

	return rows
}

// tableColumn is a column of the table.
type tableColumn struct {
	name  string
	value func(r *Result) float64
	// decimals is the number of digits after the decimal point.
	decimals int
}

var tableColumns = []tableColumn{
	{"on time %", func(r *Result) float64 { return 100 * r.OnTime }, 1},
	{"late %", func(r *Result) float64 { return 100 * r.Late }, 1},
	{"refused %", func(r *Result) float64 { return 100 * r.Refused }, 1},
	{"failed %", func(r *Result) float64 { return 100 * r.Failed }, 1},
	{"worst 2 s %", func(r *Result) float64 { return 100 * r.WorstWindow }, 1},
	{"first p50 ms", func(r *Result) float64 { return float64(r.MedianTTFT.Milliseconds()) }, 0},
	{"first p99 ms", func(r *Result) float64 { return float64(r.P99TTFT.Milliseconds()) }, 0},
	{"fetches", func(r *Result) float64 { return float64(r.Fetches) }, 0},
}

// mean returns the mean and the spread (largest minus smallest) of a column over the seeds.
func (r *Row) mean(column tableColumn) (mean, spread float64) {
	lowest, highest := column.value(r.Results[0]), column.value(r.Results[0])

	for _, result := range r.Results {
		value := column.value(result)
		mean += value / float64(len(r.Results))
		lowest, highest = min(lowest, value), max(highest, value)
	}

	return mean, highest - lowest
}

func write(to io.Writer, text string) error {
	_, err := io.WriteString(to, text)

	return errors.Wrap(err, "write table")
}
