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
	bursty := flag.Bool("bursty", false, "let the account that exceeds its rate pause 9 s in each minute")
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

	plan := policy.Full(*seed)
	if *bursty {
		plan = policy.Bursty(*seed)
	}

	if err := policy.Print(os.Stdout, policy.Measure(plan, chosen...)); err != nil {
		fail(err)
	}
}

func fail(err error) {
	_, _ = fmt.Fprintf(os.Stderr, "measure: %v\n", err)

	os.Exit(1)
}
