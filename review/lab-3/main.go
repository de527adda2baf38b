//go:build review

// Command lab-3 runs the scripted cases of the third review: it starts the programs of the project as processes on loopback addresses beside
// stand-ins of servers, store and clients, and judges one rule from what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeFailed = 2
)

// maxTime ends a case that does not end by itself.
const maxTime = 115 * time.Second

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are keyed by name. With trouble, a case has its disruption.
var cases = map[string]func(c *cluster, trouble bool) error{
	"restart":  restart,
	"evacuate": evacuate,
	"version":  version,
	"release":  release,
	"cold":     cold,
	"timeout":  timeout,
	"stop":     stop,
	"crash":    crash,
	"order":    order,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE FOLDER")
		os.Exit(codeFailed)
	}

	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"

	c, err := newCluster(rec)
	if err != nil {
		fmt.Println("the case cannot run:", err)
		return codeFailed
	}

	ended := make(chan error, 1)

	go func() { ended <- cases[name](c, trouble) }()

	select {
	case err = <-ended:
	case <-time.After(maxTime):
		err = errors.New("the case takes too long")
	}

	c.close()
	rec.add("verdict", "%v", err)

	if failed := rec.write(filepath.Join(folder, "record.txt")); failed != nil {
		fmt.Println("the record cannot be written:", failed)
		return codeFailed
	}

	switch {
	case err == nil:
		fmt.Println("the rule was kept")
		return codeHeld
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return codeBroken
	default:
		fmt.Println("the case cannot run:", err)
		return codeFailed
	}
}
