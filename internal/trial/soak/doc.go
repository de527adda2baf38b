// Package soak runs a whole fleet of entries and agents in virtual time, under seeded faults, and checks the promises of
// the design page from what callers, engines and order servers saw.
//
// A seed fixes the faults, their times, and the requests of each caller. It does not fix the order of goroutines that
// run at the same virtual instant, nor random ids, so that a run can differ in interleaving from another of its seed.
//
// What the checks do not cover:
//   - P1, P9: a connection that a kill breaks is visible to the caller as such and allowed.
//   - P2, P7: seen through the engines' own records; an engine turned cold while it runs is exempt from P7.
//   - P3: keys of other accounts and unknown keys are not sent.
//   - P4: requests are inspected in memory, without an HTTP layer at the backend servers.
//   - P5: a held revocation counts only for calls sent after it; orders are left out for it.
//   - P6: a lower bound, which misses excess below what is in transit at the edges of a window.
//   - P10: orders are checked for each idempotency key, not for each call.
//   - P11: keys repeated with another body, and orders without a key, are not sent.
//   - P13: only in runs with graceful faults.
//   - P14: entries only, every 0.7 s.
//   - A freeze stalls the network of a process and not its clock. Two agents at one engine are not modelled, and the object
//     store has no faults.
package soak
