// Package service makes HTTP calls to plain services, each at most once.
package service

import "context"

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Request is one call.
type Request struct {
	ID      string
	Method  string
	Path    string
	Query   string
	Headers []Header
	Body    []byte
}

// Response is the whole response of a call.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Caller makes a call at most once; it never repeats one by itself. An error of kind fault.NoServer says that nothing was
// sent, so the call was not run; any other error leaves the outcome unknown.
type Caller interface {
	Call(ctx context.Context, request Request) (Response, error)
}
