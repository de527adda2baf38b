package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
)

const (
	modelName   = "base"
	serviceName = "booking"
	// rate, in tokens per second, and burst, in tokens, are the limits of every client account.
	rate  = 300.0
	burst = int64(1500)
	// orderCost is the cost of an order in tokens.
	orderCost = 20
	// adapterCount is well above the number of adapter slots, so that adapters are evicted.
	adapterCount = 36
	// coldLimit is the maximum number of concurrent requests of a cold engine.
	coldLimit = 4
	// rampStart is the initial concurrency limit of a cold engine.
	rampStart      = 2
	requestTimeout = 20 * time.Second
	outputDefault  = 32
	promptContext  = 4096
	bodyBytes      = 1 << 16
	// keysPerAccount is the number of keys of each account.
	keysPerAccount = 4
)

// accounts are the client accounts; the first one sends a multiple of its rate.
var accounts = []string{"pistas", "pothpath", "families", "clerks", "planners"}

// credential is a key with its id and account.
type credential struct {
	secret  string
	id      string
	account string
}

// newDocument returns the fleet document and the keys of each account.
func newDocument() (*document.Document, map[string][]credential) {
	made := document.Empty()
	made.Default.Timeout = document.Duration(requestTimeout)
	made.Default.Output = outputDefault
	made.Default.Body = bodyBytes
	made.Default.Limit = engineBatch
	made.Default.Ramp = rampStart
	made.Models[modelName] = document.Model{Context: promptContext}
	made.Routes = map[string]document.Route{
		"booking": {Path: "/booking/", Service: serviceName, Methods: []string{"POST"}, Cost: orderCost},
		"floors":  {Path: "/floors/", Service: serviceName, Methods: []string{"GET"}, Open: true, Idempotent: true},
	}

	for i := range adapterCount {
		made.Adapters[adapterName(i)] = document.Adapter{Model: modelName, Versions: []string{"1", "2"}, Pin: "1"}
	}

	credentials := map[string][]credential{}

	for _, account := range accounts {
		made.Accounts[account] = document.Account{Rate: rate, Burst: burst}

		for range keysPerAccount {
			secret, id := keys.Generate()
			made.Keys[id] = document.Key{Hash: keys.Hash(secret), Account: account}
			credentials[account] = append(credentials[account], credential{secret: secret, id: id, account: account})
		}
	}

	return made, credentials
}

func adapterName(index int) string { return fmt.Sprintf("plate-%02d", index) }

// commitDocument commits the first version of the fleet document.
func commitDocument(ctx context.Context, f *Fleet, wanted *document.Document) error {
	edits, err := document.Diff(document.Empty(), wanted)
	if err != nil {
		return errors.Wrap(err, "first document")
	}

	change := document.Change{Version: 1, ID: "change-first", Author: "soak", Time: time.Now().UTC(), Reason: "start", Edits: edits}
	records := &store.Store{Table: &f.table.memory, Objects: f.objects}
	_, err = records.Commit(ctx, document.Empty(), change)

	return errors.Wrap(err, "commit the first document")
}
