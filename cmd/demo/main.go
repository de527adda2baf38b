// Command demo runs a demonstration of the system with real processes on the loopback interface.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/demo"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/fleet"
)

func main() {
	binary := flag.String("binary", "bin/chestnutbeam", "path of the program")
	file := flag.String("fleet", "examples/fleet.yaml", "path of the fleet file")
	flag.Parse()

	dir, err := os.MkdirTemp("", "chestnutbeam-demo-")
	if err != nil {
		fail(err)
	}

	demonstration := &demo.Demo{Fleet: &fleet.Fleet{Binary: *binary, Dir: dir}, File: *file, Out: os.Stdout}

	if err := demonstration.Run(context.Background()); err != nil {
		fmt.Printf("settings and logs: %s\n", dir)
		fail(err)
	}

	if err := os.RemoveAll(dir); err != nil {
		fail(err)
	}
}

func fail(err error) {
	_, _ = fmt.Fprintf(os.Stderr, "demo: %v\n", err)

	os.Exit(1)
}
