// Package limit contains the tests of its subpackages together: bucket, terms, holder, ledger and assign.
package limit
