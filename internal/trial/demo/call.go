package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// request is one HTTP request of a client.
type request struct {
	entry       string
	method      string
	path        string
	body        string
	key         string
	idempotency string
}

func (d *Demo) post(entry, path, body string) request {
	return request{entry: entry, method: http.MethodPost, path: path, body: body, key: d.key}
}

// call sends a request, prints the response and counts a failure if the status is not the expected one.
func (d *Demo) call(ctx context.Context, call request, want int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	outgoing, err := http.NewRequestWithContext(ctx, call.method, d.Fleet.URL(call.entry)+call.path, strings.NewReader(call.body))
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}

	call.headers(outgoing.Header)
	d.print("   %s %s through %s\n", call.method, call.path, call.entry)

	response, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		return "", errors.Wrap(err, "call")
	}

	data, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, response.Body.Close())
	text := strings.TrimSpace(string(data))

	d.print("   %s\n%s\n", response.Status, indent(text))

	if response.StatusCode != want {
		d.failures++
	}

	return text, err
}

func (r request) headers(header http.Header) {
	header.Set("Content-Type", "application/json")

	if r.key != "" {
		header.Set("Authorization", "Bearer "+r.key)
	}

	if r.idempotency != "" {
		header.Set("Idempotency-Key", r.idempotency)
	}
}

// ctl runs an operator command through operatorEntry and prints its output.
func (d *Demo) ctl(ctx context.Context, args ...string) error {
	_, err := d.ctlOutput(ctx, args...)

	return err
}

func (d *Demo) ctlOutput(ctx context.Context, args ...string) (string, error) {
	d.print("   chestnutbeam ctl %s\n", strings.Join(args, " "))

	output, err := d.Fleet.Ctl(ctx, operatorEntry, args...)
	if err != nil {
		return "", err
	}

	for _, text := range []string{output.Stdout, output.Stderr} {
		if text != "" {
			d.print("%s\n", indent(text))
		}
	}

	if output.ExitCode != 0 {
		return output.Stdout, errors.Newf("exit code %d", output.ExitCode)
	}

	return output.Stdout, nil
}

type granted struct {
	Key string `json:"key"`
	ID  string `json:"id"`
}

func (d *Demo) grant(ctx context.Context) error {
	output, err := d.ctlOutput(ctx, "--json", "key", "grant", "pistas", "--reason", "demonstration")
	if err != nil {
		return err
	}

	var key granted
	if err := json.Unmarshal([]byte(output), &key); err != nil {
		return errors.Wrap(err, "decode granted key")
	}

	d.key, d.keyID = key.Key, key.ID

	return nil
}

func indent(text string) string {
	return "     " + strings.ReplaceAll(text, "\n", "\n     ")
}
