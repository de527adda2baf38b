// Package soak runs a whole fleet of entries and agents in virtual time, under seeded faults, and checks the promises of
// the design page from what callers, engines and order servers saw.
//
// A seed fixes the faults, their times, and the requests of each caller. It does not fix the order of goroutines that
// run at the same virtual instant, nor random ids, so that a run can differ in interleaving from another of its seed.
package soak
