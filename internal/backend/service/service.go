// Package service sends HTTP calls to plain services, each at most once.
package service

import "context"

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Request is a call to a plain service.
type Request struct {
	ID      string
	Method  string
	Path    string
	Query   string
	Headers []Header
	Body    []byte
}

// Response is the complete response to a call.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Caller sends a call at most once and never retries it. An error of kind fault.NoServer means that nothing was sent, so the
// call has not run; after any other error the outcome is unknown.
type Caller interface {
	Call(ctx context.Context, request Request) (Response, error)
}
