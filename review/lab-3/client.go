//go:build review

package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is what a client sends.
type request struct {
	method, path string
	// adapter, tokens and prefix are left out if they are empty.
	adapter, prefix string
	tokens          int
	// body is the same in all attempts at one stream; each other request has its own.
	body string
	// budget is the time that the client waits.
	budget time.Duration
	// lastEvent is the id of the last event that the client has, and resumes the attempt that brought the first one; -1 and empty for none.
	lastEvent int
	resumes   string
	// onEvent is called with the id of each event; may be nil.
	onEvent func(id int)
}

// answer is what a client got.
type answer struct {
	id string
	// status is 0 if the channel was closed without an answer.
	status     int
	retryAfter time.Duration
	firstEvent int
	lastEvent  int
	events     int
	// versions are the software versions that events name, in the order of their first events.
	versions []string
	// complete is true if the answer ended in good order.
	complete bool
	// headAt is when the head of the answer came, and took when the answer ended, both from the sending on.
	headAt, took time.Duration
}

var attempts atomic.Int64

// send sends a request on a new channel, and returns what came back. The context ends the channel as a client does that closes it.
func (c *cluster) send(ctx context.Context, entry int, r request) answer {
	got := answer{id: fmt.Sprintf("9c41d07b%08x", attempts.Add(1)), firstEvent: -1, lastEvent: r.lastEvent}
	started := time.Now()

	bounded, cancel := context.WithTimeout(ctx, r.budget)
	defer cancel()

	message, err := http.NewRequestWithContext(bounded, r.method, "http://"+c.address(entryNumber+entry, clientPort)+r.path, strings.NewReader(cmp.Or(r.body, got.id)))
	if err != nil {
		return got
	}

	if r.method == http.MethodGet {
		message.Body, message.ContentLength = nil, 0
	}

	message.Host = hostName
	message.Header.Set("Attempt-Id", got.id)
	message.Header.Set("Deadline-Ms", strconv.FormatInt(r.budget.Milliseconds(), 10))
	message.Header.Set("Authorization", "Bearer "+apiKey)

	if r.tokens > 0 {
		message.Header.Set("Model", modelName)
		if r.adapter != "" {
			message.Header.Set("Model", modelName+"/"+r.adapter)
		}

		message.Header.Set("Token-Count", fmt.Sprintf("%d,80", r.tokens))
		message.Header.Set("Prompt-Prefix", fmt.Sprintf("%s:%d,%s:%d", r.prefix, r.tokens/4, got.id, r.tokens-r.tokens/4))
	}

	if r.lastEvent >= 0 {
		message.Header.Set("Last-Event-Id", strconv.Itoa(r.lastEvent))
	}

	if r.resumes != "" {
		message.Header.Set("Resumes", r.resumes)
	}

	c.record.add("client", "%s %s sent to entry %d, last event %d, resumes %q", r.method, got.id, entry, r.lastEvent, r.resumes)

	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()

	response, err := transport.RoundTrip(message)
	if err != nil {
		got.took = time.Since(started)
		c.record.add("client", "%s got no answer: %v", got.id, err)
		return got
	}

	defer func() { _ = response.Body.Close() }()

	got.status, got.headAt = response.StatusCode, time.Since(started)

	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}

	err = got.read(response, r.onEvent)
	got.complete, got.took = err == nil, time.Since(started)
	c.record.add("client", "%s got %d, events %d to %d, complete %t, retry after %s", got.id, got.status, got.firstEvent, got.lastEvent, got.complete, got.retryAfter)

	return got
}

// read reads the events of an answer to its end.
func (a *answer) read(response *http.Response, onEvent func(id int)) error {
	lines := bufio.NewReader(response.Body)

	for {
		line, err := lines.ReadString('\n')

		if text, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			a.take(strings.TrimSpace(text), onEvent)
		}

		if _, version, ok := strings.Cut(strings.TrimSpace(line), " of "); ok && err == nil && !slices.Contains(a.versions, version) {
			a.versions = append(a.versions, version)
		}

		if err != nil && err.Error() == "EOF" {
			return nil
		}

		if err != nil {
			return err
		}
	}
}

func (a *answer) take(text string, onEvent func(id int)) {
	id, err := strconv.Atoi(text)
	if err != nil {
		return
	}

	if a.firstEvent < 0 {
		a.firstEvent = id
	}

	a.lastEvent = id
	a.events++

	if onEvent != nil {
		onEvent(id)
	}
}
