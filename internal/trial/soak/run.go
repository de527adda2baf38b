package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// warmup is the time after which every process is ready.
	warmup = 15 * time.Second
	// recoveryTime is the time at the end of a run in which callers send without faults.
	recoveryTime = 10 * time.Second
)

// Plan describes one run of the soak test.
type Plan struct {
	// Seed determines the faults and the requests.
	Seed uint64
	// Length is the virtual duration of the phase with callers and faults.
	Length time.Duration
	// Faults are the kinds of faults to inject; empty means none.
	Faults []string
	// NonDisruptive is true if the faults are operations that must not disrupt callers; P13 is checked then.
	NonDisruptive bool
}

// Report is the result of a run.
type Report struct {
	// Violations are the violations of the guarantees.
	Violations []string
	// Calls counts the calls by how they ended.
	Calls map[string]int
	// Faults counts the injected faults by kind.
	Faults map[string]int
}

// Run runs a fleet in the synctest bubble of its caller, checks the guarantees and waits until every goroutine has ended.
func (p Plan) Run(ctx context.Context) (Report, error) {
	f := newFleet()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}

	time.Sleep(warmup)

	sending, stop := context.WithCancel(ctx)
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		newLoadGenerator(f, p.Seed).run(sending)
	}()

	monitor := newStatusMonitor(f)
	go monitor.run(sending)

	faults := p.inject(f, monitor)

	f.network.restore()
	time.Sleep(recoveryTime)
	stop()
	<-ended
	<-monitor.done
	f.check(p)
	f.stop()

	return Report{Violations: f.record.violations, Calls: f.record.counts(), Faults: faults}, nil
}

func (f *Fleet) check(p Plan) {
	f.checkResults()
	f.checkEngines()
	f.checkOrders()
	f.checkEnvelope()
	f.checkEvents()

	if p.NonDisruptive {
		f.checkNoDisruption()
	}
}

func (r *Record) counts() map[string]int {
	counts := map[string]int{}

	for _, each := range r.results {
		counts[each.class()]++

		if each.code == "deadline_exceeded" && len(r.starts[each.nonce]) == 0 {
			counts["deadline exceeded before start"]++
		}
	}

	return counts
}

// class returns how the call ended, for the counts of a report.
func (a *callResult) class() string {
	switch {
	case a.canceled:
		return "left"
	case a.refused:
		return "connection refused"
	case a.complete:
		return "whole"
	case a.code != "":
		return a.code + " ran " + a.ran
	default:
		return "connection broken"
	}
}

// String returns the counts and the violations.
func (r Report) String() string {
	var text strings.Builder

	for _, part := range []map[string]int{r.Calls, r.Faults} {
		names := make([]string, 0, len(part))
		for name := range part {
			names = append(names, name)
		}

		slices.Sort(names)

		for _, name := range names {
			fmt.Fprintf(&text, "%s: %d; ", name, part[name])
		}

		text.WriteString("\n")
	}

	return text.String() + strings.Join(r.Violations, "\n")
}
