package ctl

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/client"
)

// The exit codes of the command.
const (
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotInForce  = 4
	ExitUnreachable = 5
)

// ExitError carries the exit code of the command.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

func usage(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// badInput lists the kinds that the operator's input causes.
var badInput = []fault.Kind{fault.InvalidRequest, fault.NotFound, fault.TooLarge}

// exit gives an error its exit code.
func exit(err error) error {
	if err == nil {
		return nil
	}

	var (
		done    *ExitError
		refusal *client.ResponseError
	)

	switch {
	case errors.As(err, &done):
		return done
	case errors.As(err, &refusal):
		return &ExitError{Code: refusalCode(refusal), Err: describe(refusal)}
	case errors.Is(err, client.ErrUnreachable):
		return &ExitError{Code: ExitUnreachable, Err: err}
	default:
		return &ExitError{Code: ExitFailed, Err: err}
	}
}

func refusalCode(refusal *client.ResponseError) int {
	for _, kind := range badInput {
		if refusal.Kind() == kind {
			return ExitUsage
		}
	}

	if refusal.Kind() == fault.Conflict {
		return ExitConflict
	}

	return ExitFailed
}

// describe adds the changes that were committed in between to a conflict.
func describe(refusal *client.ResponseError) error {
	if len(refusal.Changes) == 0 {
		return refusal
	}

	text := refusal.Error()
	for _, change := range refusal.Changes {
		text += "\n" + changeLine(change)
	}

	return errors.Newf("%s", text)
}
