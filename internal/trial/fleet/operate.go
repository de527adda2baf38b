package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// Register waits for the VM list and puts the fleet's VMs on it.
func (f *Fleet) Register(ctx context.Context) error {
	if err := f.Await(ctx, "vms"); err != nil {
		return err
	}

	for _, vm := range f.listed() {
		if err := f.List(ctx, vm); err != nil {
			return err
		}
	}

	return nil
}

// List puts a VM on the platform's list or replaces it there.
func (f *Fleet) List(ctx context.Context, vm vms.VM) error {
	return f.send(ctx, http.MethodPut, f.vms+"/vms/"+vm.Name, vm)
}

// Unlist takes a VM from the platform's list.
func (f *Fleet) Unlist(ctx context.Context, name string) error {
	return f.send(ctx, http.MethodDelete, f.vms+"/vms/"+name, nil)
}

// Switch sets the fault switches of a stand-in.
func (f *Fleet) Switch(ctx context.Context, name string, state any) error {
	return f.send(ctx, http.MethodPost, f.URL(name)+"/switch", state)
}

func (f *Fleet) send(ctx context.Context, method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode body")
	}

	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}

	request.Header.Set("Content-Type", "application/json")

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}

	if response.StatusCode >= http.StatusBadRequest {
		err = errors.Newf("%s %s: status %d", method, url, response.StatusCode)
	}

	return errors.CombineErrors(err, response.Body.Close())
}

// Output is what the operators' command line printed.
type Output struct {
	// Text is the standard output.
	Text string
	// Notes is the standard error: progress and errors.
	Notes string
	// Code is the exit code.
	Code int
}

// Ctl runs the operators' command line against an entry.
func (f *Fleet) Ctl(ctx context.Context, entry string, args ...string) (Output, error) {
	token := filepath.Join(f.Dir, "token")
	if err := os.WriteFile(token, []byte(OperatorToken), 0o600); err != nil {
		return Output{}, errors.Wrap(err, "write operator token")
	}

	full := append([]string{"ctl", "--address", f.URL(entry), "--token-file", token}, args...)
	command := exec.CommandContext(ctx, f.Binary, full...)

	var text, notes bytes.Buffer

	command.Stdout = &text
	command.Stderr = &notes
	err := command.Run()

	output := Output{Text: strings.TrimSpace(text.String()), Notes: strings.TrimSpace(notes.String())}

	var ended *exec.ExitError
	if errors.As(err, &ended) {
		output.Code = ended.ExitCode()
		return output, nil
	}

	return output, errors.Wrap(err, "run ctl")
}
