// Package fault defines the closed list of error kinds and the response that callers get for each.
package fault

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error of one kind.
type Error struct {
	// Kind is one of the kinds on the closed list.
	Kind Kind
	// Message is safe to show to callers; it never contains a key.
	Message string
	// Param names the invalid request field; may be empty.
	Param string
	// RetryAfter is the delay before the caller should retry; zero means the kind's default.
	RetryAfter time.Duration
	// Cause is the underlying error; may be nil.
	Cause error
}

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that has err as its cause.
func Wrap(err error, kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Cause: err}
}

// WithParam sets the name of the invalid request field and returns e.
func (e *Error) WithParam(param string) *Error {
	e.Param = param
	return e
}

// WithRetryAfter sets the delay before the caller should retry and returns e.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}

	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// RetryDelay returns the delay before the caller should retry, or zero if a retry would give the same result.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}

	return e.Kind.Response().RetryAfter
}

// FromError returns the Error in err's chain. Context errors become Canceled or DeadlineExceeded, all others Internal.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}

	var found *Error

	switch {
	case errors.As(err, &found):
		return found
	case errors.Is(err, context.Canceled):
		return Wrap(err, Canceled, "canceled")
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(err, DeadlineExceeded, "deadline exceeded")
	default:
		return Wrap(err, Internal, "internal error")
	}
}

// Is reports whether err's chain contains an Error of the kind.
func Is(err error, kind Kind) bool {
	var found *Error
	return errors.As(err, &found) && found.Kind == kind
}
