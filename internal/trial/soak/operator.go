package soak

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/client"
)

// operatorTimeout bounds one request of an operator.
const operatorTimeout = 15 * time.Second

// operator returns a client of the operator API that tries the entries of the given failure domains in order.
func (f *Fleet) operator(entryDomains ...string) *client.Client {
	source := newProcess("operators", "")
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.network.dial(ctx, source, address)
		},
	}
	made := client.New(operatorToken)
	made.HTTP = &http.Client{Transport: transport, Timeout: operatorTimeout}

	for _, domain := range entryDomains {
		made.Addresses = append(made.Addresses, "http://"+entryName(domain)+":80")
	}

	return made
}

// change makes one change and returns its outcome.
func (f *Fleet) change(path string, entryDomains ...string) (api.Outcome, error) {
	var outcome api.Outcome

	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()

	err := f.operator(entryDomains...).Post(ctx, path, api.ItemChange{Reason: "soak"}, &outcome)

	return outcome, err
}

// accepted is a change that an entry reported as committed.
type accepted struct {
	version int64
	id      string
	at      time.Time
}

// accept records a change that was reported as committed.
func (w *statusMonitor) accept(outcome api.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if outcome.Version > 0 && !outcome.Unchanged {
		w.accepted = append(w.accepted, accepted{version: outcome.Version, id: outcome.Change, at: time.Now()})
	}
}
