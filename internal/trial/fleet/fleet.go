// Package fleet runs a small fleet of real processes on the loopback interface: test doubles of the platform and of the
// backend servers, agents and entries.
package fleet

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/process"
)

const (
	// OperatorToken is the token of the only operator of the fleet.
	OperatorToken = "trial-operator-token"
	// readyTimeout bounds the start of one process.
	readyTimeout = 20 * time.Second
	// defaultTokenTime is the default of Fleet.TokenTime.
	defaultTokenTime = 5 * time.Millisecond
	// readyPollInterval is the interval at which a starting process is polled.
	readyPollInterval = 50 * time.Millisecond
)

// Domains are the failure domains of the fleet. Each has an entry and an engine; each but the last has an order server, too.
var Domains = []string{"a", "b", "c"}

// Fleet is a set of running processes. The exported fields are set before Start.
type Fleet struct {
	// Binary is the path of the program.
	Binary string
	// Dir holds settings files and logs.
	Dir string
	// TokenTime is the time an engine takes to generate one token; zero means defaultTokenTime.
	TokenTime time.Duration

	plans     []processPlan
	addresses map[string]string
	processes map[string]*process.Process
	table     string
	objects   string
	vms       string
	weights   string
}

// processPlan describes how one process is started.
type processPlan struct {
	name string
	args []string
	// ready is the URL that returns status 200 once the process is ready.
	ready string
}

// Start starts every process in an arbitrary but fixed order, waits until the VM list is ready and adds the fleet's VMs to
// it. Entries do not become ready before a fleet file is applied.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.Prepare(ctx); err != nil {
		return err
	}

	for _, each := range f.plans {
		if err := f.startOne(ctx, each); err != nil {
			return err
		}
	}

	return f.RegisterVMs(ctx)
}

// Prepare chooses the addresses and writes the settings files without starting a process.
func (f *Fleet) Prepare(ctx context.Context) error {
	f.addresses = map[string]string{}
	f.processes = map[string]*process.Process{}

	return f.plan(ctx)
}

// Names returns the names of the processes in the order in which Start starts them.
func (f *Fleet) Names() []string {
	names := make([]string, 0, len(f.plans))
	for _, each := range f.plans {
		names = append(names, each.name)
	}

	return names
}

// Stop shuts down every process that is still running, in reverse start order, so that the last entry stops first.
func (f *Fleet) Stop() {
	for i := len(f.plans) - 1; i >= 0; i-- {
		if running := f.processes[f.plans[i].name]; running != nil {
			running.Stop()
		}
	}
}

// Process returns the process with the given name, such as "entry-a" or "agent-engine-b".
func (f *Fleet) Process(name string) *process.Process {
	return f.processes[name]
}

// StartProcess starts one process that is not running, with the settings and addresses that Prepare chose.
func (f *Fleet) StartProcess(ctx context.Context, name string) error {
	for _, each := range f.plans {
		if each.name == name {
			return f.startOne(ctx, each)
		}
	}

	return errors.Newf("no process named %s", name)
}

// URL returns the base URL of a test double or entry.
func (f *Fleet) URL(name string) string {
	return "http://" + f.addresses[name]
}

// AwaitReady waits until every process is ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, each := range f.plans {
		if err := f.awaitOne(ctx, each, isReady); err != nil {
			return err
		}
	}

	return nil
}

// Await waits until the named process is ready.
func (f *Fleet) Await(ctx context.Context, name string) error {
	return f.await(ctx, name, isReady)
}

// AwaitListening waits until the named process responds to HTTP requests, ready or not. An entry is not ready before it has
// a configuration, and operators apply the first configuration through an entry.
func (f *Fleet) AwaitListening(ctx context.Context, name string) error {
	return f.await(ctx, name, func(int) bool { return true })
}

func (f *Fleet) await(ctx context.Context, name string, accept func(status int) bool) error {
	for _, each := range f.plans {
		if each.name == name {
			return f.awaitOne(ctx, each, accept)
		}
	}

	return errors.Newf("no process named %s", name)
}

func isReady(status int) bool {
	return status == http.StatusOK
}

func (f *Fleet) startOne(ctx context.Context, each processPlan) error {
	started, err := process.Start(ctx, f.Binary, f.Dir, each.name, each.args...)
	if err != nil {
		return err
	}

	f.processes[each.name] = started

	return nil
}

func (f *Fleet) awaitOne(ctx context.Context, each processPlan, accept func(status int) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	for {
		if status, err := getJSON(ctx, each.ready); err == nil && accept(status) {
			return nil
		}

		select {
		case <-ctx.Done():
			return errors.Newf("%s is not ready after %s; see %s", each.name, readyTimeout, filepath.Join(f.Dir, each.name+".log"))
		case <-f.processes[each.name].Done():
			return errors.Newf("%s has exited; see %s", each.name, filepath.Join(f.Dir, each.name+".log"))
		case <-time.After(readyPollInterval):
		}
	}
}

func getJSON(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "get")
	}

	return response.StatusCode, response.Body.Close()
}
