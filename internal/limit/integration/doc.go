// Package integration tests the limit packages together: bucket, terms, holder, ledger and assign.
package integration
