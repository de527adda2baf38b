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

// RegisterVMs waits until the test double of the VM list is ready and adds the fleet's VMs to the list.
func (f *Fleet) RegisterVMs(ctx context.Context) error {
	if err := f.Await(ctx, "vms"); err != nil {
		return err
	}

	for _, vm := range f.vmList() {
		if err := f.PutVM(ctx, vm); err != nil {
			return err
		}
	}

	return nil
}

// PutVM adds a VM to the platform's VM list or replaces it there.
func (f *Fleet) PutVM(ctx context.Context, vm vms.VM) error {
	return f.send(ctx, http.MethodPut, f.vms+"/vms/"+vm.Name, vm)
}

// RemoveVM removes a VM from the platform's VM list.
func (f *Fleet) RemoveVM(ctx context.Context, name string) error {
	return f.send(ctx, http.MethodDelete, f.vms+"/vms/"+name, nil)
}

// SetSwitches sets the fault switches of a test double.
func (f *Fleet) SetSwitches(ctx context.Context, name string, state any) error {
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

// Output is the result of an operator command (chestnutbeam ctl).
type Output struct {
	// Stdout is the standard output without surrounding white space.
	Stdout string
	// Stderr is the standard error, with progress and error messages, without surrounding white space.
	Stderr string
	// ExitCode is the exit code.
	ExitCode int
}

// Ctl runs an operator command against an entry. A non-zero exit code is reported in Output, not as an error.
func (f *Fleet) Ctl(ctx context.Context, entry string, args ...string) (Output, error) {
	token := filepath.Join(f.Dir, "token")
	if err := os.WriteFile(token, []byte(OperatorToken), 0o600); err != nil {
		return Output{}, errors.Wrap(err, "write operator token")
	}

	full := append([]string{"ctl", "--address", f.URL(entry), "--token-file", token}, args...)
	command := exec.CommandContext(ctx, f.Binary, full...)

	var stdout, stderr bytes.Buffer

	command.Stdout = &stdout
	command.Stderr = &stderr
	err := command.Run()

	output := Output{Stdout: strings.TrimSpace(stdout.String()), Stderr: strings.TrimSpace(stderr.String())}

	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		output.ExitCode = exitErr.ExitCode()
		return output, nil
	}

	return output, errors.Wrap(err, "run ctl")
}
