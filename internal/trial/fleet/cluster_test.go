package fleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
	"github.com/chestnutbeam/chestnutbeam/internal/trial/fleet"
)

const (
	fleetFile = "../../../examples/fleet.yaml"
	// slowToken makes a response of 64 tokens take at least 2.5 s, so that streams are running when a fault is injected.
	slowToken = 40 * time.Millisecond
	// pollInterval is the interval at which a condition is checked.
	pollInterval = 50 * time.Millisecond
	// conditionTimeout bounds the wait for a condition for which the design states no bound.
	conditionTimeout = 15 * time.Second
	// inForceTimeout bounds the time until a change is in force in every process (design 1.3).
	inForceTimeout = 7 * time.Second
	// callTimeout bounds one call.
	callTimeout = 40 * time.Second
)

// binary is the path of the program, which is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutbeam-fleet-")
	if err != nil {
		panic(err)
	}

	defer func() { _ = os.RemoveAll(dir) }()

	binary = filepath.Join(dir, "chestnutbeam")

	if output, err := exec.Command("go", "build", "-o", binary, "../../../cmd/chestnutbeam").CombinedOutput(); err != nil {
		panic(string(output))
	}

	return m.Run()
}

// testCluster is the fleet of one test, with a key of client account pistas.
type testCluster struct {
	*fleet.Fleet
	t     *testing.T
	ctx   context.Context
	key   string
	keyID string
	// baseline is the number of requests that each engine had accepted when the fleet was ready, by failure domain.
	baseline map[string]int64
}

// prepare returns a cluster whose processes are not started.
func prepare(t *testing.T, token time.Duration) *testCluster {
	t.Helper()
	t.Parallel()

	c := &testCluster{Fleet: &fleet.Fleet{Binary: binary, Dir: t.TempDir(), TokenTime: token}, t: t, ctx: context.Background()}
	t.Cleanup(c.Stop)

	return c
}

// start returns a cluster whose processes are ready.
func start(t *testing.T, token time.Duration) *testCluster {
	t.Helper()

	c := prepare(t, token)
	assert.NilError(t, c.Start(c.ctx))
	c.configure()

	return c
}

func (c *testCluster) configure() {
	c.t.Helper()

	assert.NilError(c.t, c.Await(c.ctx, "table"))
	c.waitFor("the fleet file is applied", conditionTimeout, func() bool {
		output, err := c.Ctl(c.ctx, "entry-b", "--wait", "0s", "apply", fleetFile, "--reason", "test")

		return err == nil && output.ExitCode == 0
	})
	assert.NilError(c.t, c.AwaitReady(c.ctx))

	c.key, c.keyID = c.grant()

	// The first assignment of an account waits up to 5 s for a connection to an entry in each failure domain.
	c.waitFor("every account has holders", inForceTimeout, func() bool {
		output, err := c.Ctl(c.ctx, "entry-b", "status")

		return err == nil && strings.Count(output.Stdout, "pistas ") == len(fleet.Domains)
	})
	c.baseline = map[string]int64{}

	c.awaitServing()

	for _, domain := range fleet.Domains {
		c.baseline[domain] = c.engineRequests(domain)
	}
}

// awaitServing waits until every entry serves completions. The token shares of a new account are assigned a few seconds
// after the account is known, and agents learn of a new version with the first request that carries it.
func (c *testCluster) awaitServing() {
	c.t.Helper()

	for _, domain := range fleet.Domains {
		c.waitFor("entry-"+domain+" serves", conditionTimeout, func() bool { return c.complete("entry-"+domain, c.key).status == http.StatusOK })
	}
}

// grant creates a key and waits until every entry accepts it.
func (c *testCluster) grant() (key, id string) {
	c.t.Helper()

	output := c.ctl(0, "--wait", "0s", "--json", "key", "grant", "pistas", "--reason", "test")

	var granted struct{ Key, ID string }

	// The output contains the key, followed by the report on the version.
	assert.NilError(c.t, json.NewDecoder(strings.NewReader(output)).Decode(&granted))

	for _, domain := range fleet.Domains {
		c.waitFor("entry-"+domain+" knows the key", inForceTimeout, func() bool {
			return c.call("entry-"+domain, http.MethodGet, "/v1/models", "", granted.Key, "").status == http.StatusOK
		})
	}

	return granted.Key, granted.ID
}

// ctl runs an operator command through entry-b and checks its exit code.
func (c *testCluster) ctl(code int, args ...string) string {
	c.t.Helper()

	output, err := c.Ctl(c.ctx, "entry-b", args...)
	assert.NilError(c.t, err)
	assert.Equal(c.t, output.ExitCode, code, "ctl %s: %s %s", args, output.Stdout, output.Stderr)

	return output.Stdout
}

// waitFor polls a condition and fails the test if it does not hold within the bound.
func (c *testCluster) waitFor(what string, bound time.Duration, condition func() bool) {
	c.t.Helper()

	for end := time.Now().Add(bound); !condition(); time.Sleep(pollInterval) {
		assert.Assert(c.t, time.Now().Before(end), "not within %s: %s", bound, what)
	}
}

// callResponse is the response to one call.
type callResponse struct {
	status int
	body   string
	header http.Header
	err    error
}

// code returns the error code of an error response and its statement whether the request ran.
func (r callResponse) code() (code, ran string) {
	var problem struct{ Error struct{ Code, Ran string } }

	_ = json.Unmarshal([]byte(r.body), &problem)

	return problem.Error.Code, problem.Error.Ran
}

func (c *testCluster) call(entry, method, path, body, key, idempotency string) callResponse {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()

	response, err := c.open(ctx, entry, method, path, body, key, idempotency)
	if err != nil {
		return callResponse{err: err}
	}

	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()

	return callResponse{status: response.StatusCode, body: string(data), header: response.Header, err: err}
}

func (c *testCluster) open(ctx context.Context, entry, method, path, body, key, idempotency string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.URL(entry)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}

	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)

	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}

	return http.DefaultClient.Do(request)
}

// complete requests a short completion without streaming.
func (c *testCluster) complete(entry, key string) callResponse {
	return c.call(entry, http.MethodPost, "/v1/completions", `{"model":"quote@v1","prompt":"a floor","max_tokens":2}`, key, "")
}

// stream is one streamed response. Its fields may be read once the group of its streams has ended.
type stream struct {
	prompt string
	status int
	text   string
	// done is true once the end marker has arrived; failed is the code of the error event, if one has arrived.
	done   bool
	failed string
	err    error
}

// streamGroup holds responses that are read concurrently.
type streamGroup struct {
	all   []*stream
	wg    sync.WaitGroup
	first chan struct{}
}

// stream starts count streamed requests, spread round-robin over the entries, and returns without waiting for them.
func (c *testCluster) stream(count, tokens int, entries ...string) *streamGroup {
	s := &streamGroup{first: make(chan struct{}, count)}

	for i := range count {
		each := &stream{prompt: longPrompt(i, tokens)}
		s.all = append(s.all, each)
		s.wg.Go(func() { c.read(each, tokens, entries[i%len(entries)], sync.OnceFunc(func() { s.first <- struct{}{} })) })
	}

	return s
}

// awaitFirstLines waits until every stream has received its first line or has ended.
func (s *streamGroup) awaitFirstLines() {
	for range s.all {
		<-s.first
	}
}

// longPrompt returns a prompt for which the engine generates as many tokens as the limit allows.
func longPrompt(number, tokens int) string {
	for try := 0; ; try++ {
		prompt := fmt.Sprintf("prompt %d, try %d", number, try)
		if len(engineOutput(prompt, tokens)) == tokens {
			return prompt
		}
	}
}

// engineOutput returns the tokens that the engine's test double generates for a prompt.
func engineOutput(prompt string, tokens int) []string {
	words, _ := standin.Output(engine.Request{
		Adapter: engine.Adapter{Name: "quote", Version: "v1"}, Prompt: prompt, MaxTokens: int64(tokens),
	})

	return words
}

func (c *testCluster) read(s *stream, tokens int, entry string, first func()) {
	defer first()

	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()

	body := fmt.Sprintf(`{"model":"quote@v1","prompt":%q,"max_tokens":%d,"stream":true}`, s.prompt, tokens)

	response, err := c.open(ctx, entry, http.MethodPost, "/v1/completions", body, c.key, "")
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()

	s.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)

	for lines.Scan() {
		s.parseLine(lines.Text())
		first()
	}

	s.err = lines.Err()
}

func (s *stream) parseLine(line string) {
	data, found := strings.CutPrefix(line, "data: ")
	if s.status != http.StatusOK {
		data, found = line, true
	}

	var event struct {
		Choices []struct{ Text string }
		Error   *struct{ Code string }
	}

	switch {
	case !found:
	case data == "[DONE]":
		s.done = true
	case json.Unmarshal([]byte(data), &event) != nil:
	case event.Error != nil:
		s.failed = event.Error.Code
	case len(event.Choices) > 0:
		s.text += event.Choices[0].Text
	}
}

// isComplete reports whether the stream is the complete response to its own request.
func (s *stream) isComplete(tokens int) bool {
	return s.done && s.failed == "" && s.text == strings.Join(engineOutput(s.prompt, tokens), "")
}

// getJSON decodes the JSON response of a test double.
func get[T any](c *testCluster, name, path string) T {
	c.t.Helper()

	var value T

	got := c.call(name, http.MethodGet, path, "", "", "")
	assert.NilError(c.t, got.err)
	assert.NilError(c.t, json.Unmarshal([]byte(got.body), &value))

	return value
}

func (c *testCluster) engineRequests(domain string) int64 {
	return get[standin.Record](c, "engine-"+domain, "/record").Requests
}

// busiestDomain returns the failure domain whose engine has accepted the most requests since the fleet was ready.
func (c *testCluster) busiestDomain() string {
	most := fleet.Domains[0]

	for _, domain := range fleet.Domains {
		if c.engineRequests(domain)-c.baseline[domain] > c.engineRequests(most)-c.baseline[most] {
			most = domain
		}
	}

	return most
}

// bookings returns how often each order was booked, summed over the order servers.
func (c *testCluster) bookings() map[string]int64 {
	total := map[string]int64{}

	for _, name := range []string{"order-a", "order-b"} {
		for body, count := range get[order.Record](c, name, "/record").Bookings {
			total[body] += count
		}
	}

	return total
}

// processLog returns the log output of a process.
func (c *testCluster) processLog(name string) string {
	data, err := os.ReadFile(c.Process(name).LogPath)
	assert.NilError(c.t, err)

	return string(data)
}
