package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all clients.
var attempts atomic.Int64

// attempt is one request of a client.
type attempt struct {
	method string
	path   string
	key    string
	budget time.Duration
	body   string
	header map[string]string
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	// status is 0 if there was no answer.
	status     int
	sealed     bool
	retryAfter string
	body       string
	// whole is true if the body has ended as a complete one.
	whole bool
}

// clientTransport opens a channel for each request.
var clientTransport = &http.Transport{
	DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}

// send sends a request to an entry and waits for its answer.
func send(rec *record, address string, a attempt) answer {
	id := fmt.Sprintf("%016x", attempts.Add(1))
	got := answer{id: id, sentAt: time.Now()}

	ctx, cancel := context.WithTimeout(context.Background(), a.budget)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+address+a.path, strings.NewReader(a.body))
	if err != nil {
		return got
	}

	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(a.budget.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+a.key)

	for name, value := range a.header {
		request.Header.Set(name, value)
	}

	rec.add("client sends %s (%s) to %s", id, a.path, address)

	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		rec.add("client gets no answer to %s: %v", id, err)
		return got
	}

	defer response.Body.Close()

	body, err := io.ReadAll(response.Body)
	got.status, got.sealed, got.body = response.StatusCode, response.Header.Get("Response-Seal") != "", string(body)
	got.retryAfter = response.Header.Get("Retry-After")
	got.whole = err == nil
	rec.add("client gets %d for %s: sealed %t, whole %t, %d bytes, %q", got.status, id, got.sealed, got.whole, len(body), text(got))

	return got
}

// text returns the body of a failure.
func text(got answer) string {
	if got.status < 300 {
		return ""
	}

	return got.body
}

// listen listens at an address that another listener may have left a moment ago.
func listen(address string) (net.Listener, error) {
	var (
		listener net.Listener
		err      error
	)

	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}

		time.Sleep(20 * time.Millisecond)
	}

	return nil, err
}
