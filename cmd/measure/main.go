// Command measure compares policies on the same arrivals in virtual time.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/chestnutbeam/chestnutbeam/internal/measure/policy"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	name := flag.String("policy", "", "measure only this policy")
	flag.Parse()

	var chosen []policy.Policy

	for _, one := range policy.Policies() {
		if *name == "" || one.Name == *name {
			chosen = append(chosen, one)
		}
	}

	if len(chosen) == 0 {
		fail(fmt.Errorf("there is no policy %q", *name))
	}

	if err := policy.Print(os.Stdout, policy.Measure(policy.Full(*seed), chosen...)); err != nil {
		fail(err)
	}
}

func fail(err error) {
	_, _ = fmt.Fprintf(os.Stderr, "measure: %v\n", err)

	os.Exit(1)
}
