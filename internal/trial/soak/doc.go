// Package soak runs a fleet of entries and agents in virtual time with fault injection from a seed, and checks the
// guarantees P1 to P14 of the design with the observations of callers, engines and order servers.
//
// A seed determines the faults, their times and the requests of each caller. It determines neither the order of goroutines
// that run at the same virtual time nor random ids, so that the interleaving can differ between two runs with the same seed.
//
// Limits of the checks:
//   - P1, P9: a connection that breaks because a process is killed is visible to the caller and allowed.
//   - P2, P7: checked with the engines' own records; an engine that becomes cold while it runs is exempt from P7.
//   - P3: no requests with keys of other accounts or unknown keys are sent.
//   - P4: requests are inspected in memory, without the HTTP layer of the backend servers.
//   - P5: a pending revocation is checked only for calls sent after it, and not for orders.
//   - P6: a lower bound, which misses an excess smaller than what is in transit at the edges of a window.
//   - P10: orders are checked per idempotency key, not per call.
//   - P11: no idempotency key is reused with another body, and no orders without a key are sent.
//   - P13: checked only in runs with non-disruptive faults.
//   - P14: checked for entries only, every 0.7 s.
//   - A pause blocks the network of a process but does not stop its clock. Two agents of one engine are not modelled, and no
//     faults are injected into the object store.
package soak
