// Lab plays the cases of an independent review: it starts the project's programs as processes, with stand-ins of the platform, and
// checks one rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// lab is what a case works with.
type lab struct {
	*cluster
	// trouble is false if the disruption is to be left out.
	trouble bool
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. The last two have no folder.
var cases = map[string]func(l *lab) (verdict, error){
	"twice":    repeatedTurn,
	"restore":  restoredKey,
	"endless":  endlessBytes,
	"part":     crashingPart,
	"evacuate": lostEvacuation,
	"drain":    leavingQueue,
	"late":     lateOrder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}

	os.Exit(play(os.Args[1], os.Args[2]))
}

// interrupts returns the signals that end a case early, so that its processes are ended too.
func interrupts() <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)

	return received
}

func play(name, path string) int {
	rec := newRecord()

	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}

	defer c.close()

	type outcome struct {
		verdict verdict
		err     error
	}

	l := &lab{cluster: c, trouble: os.Getenv("TROUBLE") != "0"}
	done := make(chan outcome, 1)

	go func() {
		v, err := cases[name](l)
		done <- outcome{v, err}
	}()

	var got outcome

	select {
	case got = <-done:
	case <-time.After(maxTime):
		got.err = fmt.Errorf("not done after %s", maxTime)
	case received := <-interrupts():
		got.err = fmt.Errorf("ended by %s", received)
	}

	if got.err != nil {
		rec.add("could not run: %v", got.err)
	} else {
		rec.add("rule broken: %t; %s", got.verdict.broken, got.verdict.text)
	}

	if err := rec.write(path); err != nil {
		fmt.Fprintln(os.Stderr, "could not write the record:", err)
		return 2
	}

	switch {
	case got.err != nil:
		fmt.Println("could not run:", got.err)
		return 2
	case got.verdict.broken:
		fmt.Println("rule broken:", got.verdict.text)
		return 1
	default:
		fmt.Println("rule held:", got.verdict.text)
		return 0
	}
}
