// Package demo runs a demonstration of the system: it starts a fleet of real processes, sends client requests and makes
// configuration changes as an operator.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/fleet"
)

// Demo runs the steps of the demonstration against a fleet. The exported fields are set before Run.
type Demo struct {
	Fleet *fleet.Fleet
	// File is the path of the fleet file to apply.
	File string
	// Out receives the output of the demonstration.
	Out io.Writer

	key      string
	keyID    string
	failures int
}

// operatorEntry is the entry to which operator commands are sent.
const operatorEntry = "entry-b"

type step struct {
	title string
	run   func(ctx context.Context) error
}

// Run starts the fleet, runs every step and stops the fleet. It returns an error if a step fails or a response does not have
// the expected status.
func (d *Demo) Run(ctx context.Context) error {
	defer d.Fleet.Stop()

	steps := []step{
		{"start the test doubles, five agents and three entries in three failure domains", d.start},
		{"apply the fleet file and grant a key to client account pistas", d.configure},
		{"completion, JSON", d.completion},
		{"completion, stream", d.stream},
		{"order with an idempotency key, sent through two entries", d.order},
		{"request without a key is refused", d.refused},
		{"availability check on an open route, without a key", d.availability},
		{"take failure domain a out of service, send a completion, put the domain back into service", d.domain},
		{"revoke the key", d.revoke},
		{"status, and explanation of the settings of an adapter", d.explain},
		{"audit trail", d.audit},
	}

	for i, each := range steps {
		d.print("\n%d. %s\n", i+1, each.title)

		if err := each.run(ctx); err != nil {
			return errors.Wrapf(err, "step %d, %s", i+1, each.title)
		}
	}

	if d.failures > 0 {
		return errors.Newf("%d responses did not have the expected status", d.failures)
	}

	d.print("\nall steps succeeded\n")

	return nil
}

func (d *Demo) start(ctx context.Context) error {
	return d.Fleet.Start(ctx)
}

func (d *Demo) configure(ctx context.Context) error {
	if err := d.Fleet.Await(ctx, "table"); err != nil {
		return err
	}

	if err := d.Fleet.AwaitListening(ctx, operatorEntry); err != nil {
		return err
	}

	if err := d.ctl(ctx, "apply", d.File, "--reason", "first configuration"); err != nil {
		return err
	}

	if err := d.Fleet.AwaitReady(ctx); err != nil {
		return err
	}

	return d.grant(ctx)
}

func (d *Demo) completion(ctx context.Context) error {
	body := `{"model":"quote@v1","prompt":"A floor of 12 by 8 metres for Saturday.","max_tokens":16}`
	_, err := d.call(ctx, d.post("entry-a", "/v1/completions", body), http.StatusOK)

	return err
}

func (d *Demo) stream(ctx context.Context) error {
	body := `{"model":"permit","messages":[{"role":"user","content":"Summarise the permit."}],"max_tokens":4,"stream":true}`
	text, err := d.call(ctx, d.post("entry-b", "/v1/chat/completions", body), http.StatusOK)

	if err == nil && !strings.Contains(text, "[DONE]") {
		err = errors.New("the stream has no end marker")
	}

	return err
}

func (d *Demo) order(ctx context.Context) error {
	body := `{"floor":"12x8","day":"2026-12-12"}`
	call := d.post("entry-a", "/booking/book", body)
	call.idempotency = "demo-order-1"

	first, err := d.call(ctx, call, http.StatusOK)
	if err != nil {
		return err
	}

	call.entry = "entry-c"

	second, err := d.call(ctx, call, http.StatusOK)
	if err == nil && first != second {
		err = errors.New("the repeated order has a different response")
	}

	return err
}

func (d *Demo) refused(ctx context.Context) error {
	call := d.post("entry-a", "/v1/completions", `{"model":"quote","prompt":"hello","max_tokens":4}`)
	call.key = ""
	_, err := d.call(ctx, call, http.StatusUnauthorized)

	return err
}

func (d *Demo) availability(ctx context.Context) error {
	call := request{entry: "entry-b", method: http.MethodGet, path: "/floors/availability?day=2026-12-12"}
	_, err := d.call(ctx, call, http.StatusOK)

	return err
}

func (d *Demo) domain(ctx context.Context) error {
	if err := d.ctl(ctx, "domain", "out", "a", "--reason", "switch replacement"); err != nil {
		return err
	}

	if _, err := d.call(ctx, d.post("entry-b", "/v1/completions", `{"model":"quote","prompt":"still served","max_tokens":4}`), http.StatusOK); err != nil {
		return err
	}

	return d.ctl(ctx, "domain", "in", "a", "--reason", "switch replaced")
}

func (d *Demo) revoke(ctx context.Context) error {
	if err := d.ctl(ctx, "key", "revoke", d.keyID, "--reason", "end of the demonstration"); err != nil {
		return err
	}

	_, err := d.call(ctx, d.post("entry-c", "/v1/completions", `{"model":"quote","prompt":"hello","max_tokens":4}`), http.StatusUnauthorized)

	return err
}

func (d *Demo) explain(ctx context.Context) error {
	if err := d.ctl(ctx, "status"); err != nil {
		return err
	}

	return d.ctl(ctx, "explain", "--adapter", "quote", "--account", "pistas")
}

func (d *Demo) audit(ctx context.Context) error {
	return d.ctl(ctx, "audit")
}

func (d *Demo) print(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format, args...)
}

// callTimeout bounds one request of the demonstration.
const callTimeout = 15 * time.Second
