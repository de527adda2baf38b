package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// warmup is the time until every process is ready.
	warmup = 15 * time.Second
	// quiet is the time without faults at the end, with callers.
	quiet = 10 * time.Second
)

// Plan describes one run.
type Plan struct {
	Seed uint64
	// Length is the virtual time with callers and faults.
	Length time.Duration
	// Faults lists the kinds of faults; empty means none.
	Faults []string
	// Mild says that the faults are operations that no caller may notice.
	Mild bool
}

// Report is the result of a run.
type Report struct {
	Violations []string
	// Calls counts answers by status, code and how they ended.
	Calls map[string]int
	// Faults counts the faults that took place.
	Faults map[string]int
}

// Run runs a fleet in the bubble of the caller, checks the promises and ends every goroutine.
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

		newCrowd(f, p.Seed).run(sending)
	}()

	watch := newWatch(f)
	go watch.run(sending)

	faults := p.inject(f, watch)

	f.network.heal()
	time.Sleep(quiet)
	stop()
	<-ended
	<-watch.done
	f.check(p)
	f.stop()

	return Report{Violations: f.record.violations, Calls: f.record.counts(), Faults: faults}, nil
}

func (f *Fleet) check(p Plan) {
	f.checkAnswers()
	f.checkEngines()
	f.checkOrders()
	f.checkEnvelope()
	f.checkEvents()

	if p.Mild {
		f.checkSmooth()
	}
}

func (r *Record) counts() map[string]int {
	counts := map[string]int{}

	for _, each := range r.answers {
		counts[each.class()]++

		if each.code == "deadline_exceeded" && len(r.starts[each.nonce]) == 0 {
			counts["deadline without start"]++
		}
	}

	return counts
}

func (a *answer) class() string {
	switch {
	case a.left:
		return "left"
	case a.refused:
		return "connection refused"
	case a.whole:
		return "whole"
	case a.code != "":
		return a.code + " ran " + a.ran
	default:
		return "connection broken"
	}
}

// String lists the counts and violations.
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
