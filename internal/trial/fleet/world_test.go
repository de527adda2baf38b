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
	// slowToken makes an answer of 64 tokens last for at least 2.5 s, so that faults meet running streams.
	slowToken = 40 * time.Millisecond
	// poll is the time between two looks at a condition.
	poll = 50 * time.Millisecond
	// patience bounds the wait for a condition that has no bound of its own in the design.
	patience = 15 * time.Second
	// inForce bounds the time until a change is in force everywhere (design 1.3).
	inForce = 7 * time.Second
	// callTime bounds one call.
	callTime = 40 * time.Second
)

// binary is the program, built once for all tests.
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

// world is a fleet of one test, with a key of client account pistas.
type world struct {
	*fleet.Fleet
	t     *testing.T
	ctx   context.Context
	key   string
	keyID string
	// warm is the number of requests that each engine had accepted when the fleet was ready, by failure domain.
	warm map[string]int64
}

// prepare returns a world without processes.
func prepare(t *testing.T, token time.Duration) *world {
	t.Helper()
	t.Parallel()

	w := &world{Fleet: &fleet.Fleet{Binary: binary, Dir: t.TempDir(), Token: token}, t: t, ctx: context.Background()}
	t.Cleanup(w.Stop)

	return w
}

// start returns a world whose processes are ready.
func start(t *testing.T, token time.Duration) *world {
	t.Helper()

	w := prepare(t, token)
	assert.NilError(t, w.Start(w.ctx))
	w.configure()

	return w
}

func (w *world) configure() {
	w.t.Helper()

	assert.NilError(w.t, w.Await(w.ctx, "table"))
	w.until("the fleet file is applied", patience, func() bool {
		output, err := w.Ctl(w.ctx, "entry-b", "--wait", "0s", "apply", fleetFile, "--reason", "test")

		return err == nil && output.Code == 0
	})
	assert.NilError(w.t, w.AwaitReady(w.ctx))

	w.key, w.keyID = w.grant()

	// The first assignment of an account waits up to 5 s for contact with an entry in each failure domain.
	w.until("every account has holders", inForce, func() bool {
		output, err := w.Ctl(w.ctx, "entry-b", "status")

		return err == nil && strings.Count(output.Text, "pistas ") == len(fleet.Domains)
	})
	w.warm = map[string]int64{}

	w.serving()

	for _, domain := range fleet.Domains {
		w.warm[domain] = w.engineRequests(domain)
	}
}

// serving waits until every entry serves completions. The token shares of a new account are assigned a few seconds after the
// account is known, and agents reach a new version with the first request that carries it.
func (w *world) serving() {
	w.t.Helper()

	for _, domain := range fleet.Domains {
		w.until("entry-"+domain+" serves", patience, func() bool { return w.complete("entry-"+domain, w.key).status == http.StatusOK })
	}
}

// grant returns a key that every entry knows.
func (w *world) grant() (key, id string) {
	w.t.Helper()

	output := w.ctl(0, "--wait", "0s", "--json", "key", "grant", "pistas", "--reason", "test")

	var granted struct{ Key, ID string }

	// The report on the version follows the key in the output.
	assert.NilError(w.t, json.NewDecoder(strings.NewReader(output)).Decode(&granted))

	for _, domain := range fleet.Domains {
		w.until("entry-"+domain+" knows the key", inForce, func() bool {
			return w.call("entry-"+domain, http.MethodGet, "/v1/models", "", granted.Key, "").status == http.StatusOK
		})
	}

	return granted.Key, granted.ID
}

// ctl runs an operator command through entry-b and checks its exit code.
func (w *world) ctl(code int, args ...string) string {
	w.t.Helper()

	output, err := w.Ctl(w.ctx, "entry-b", args...)
	assert.NilError(w.t, err)
	assert.Equal(w.t, output.Code, code, "ctl %s: %s %s", args, output.Text, output.Notes)

	return output.Text
}

// until polls a condition up to a bound.
func (w *world) until(what string, bound time.Duration, holds func() bool) {
	w.t.Helper()

	for end := time.Now().Add(bound); !holds(); time.Sleep(poll) {
		assert.Assert(w.t, time.Now().Before(end), "not within %s: %s", bound, what)
	}
}

// reply is the answer to one call.
type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

// code returns the error code of a refusal and what it says of the run.
func (r reply) code() (code, ran string) {
	var problem struct{ Error struct{ Code, Ran string } }

	_ = json.Unmarshal([]byte(r.body), &problem)

	return problem.Error.Code, problem.Error.Ran
}

func (w *world) call(entry, method, path, body, key, idempotency string) reply {
	ctx, cancel := context.WithTimeout(w.ctx, callTime)
	defer cancel()

	response, err := w.open(ctx, entry, method, path, body, key, idempotency)
	if err != nil {
		return reply{err: err}
	}

	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close()

	return reply{status: response.StatusCode, body: string(data), header: response.Header, err: err}
}

func (w *world) open(ctx context.Context, entry, method, path, body, key, idempotency string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, w.URL(entry)+path, strings.NewReader(body))
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

// complete asks for a short answer that is not streamed.
func (w *world) complete(entry, key string) reply {
	return w.call(entry, http.MethodPost, "/v1/completions", `{"model":"quote@v1","prompt":"a floor","max_tokens":2}`, key, "")
}

// stream is one streamed answer; its fields are read after its group has ended.
type stream struct {
	prompt string
	status int
	text   string
	// done and failed say that the end marker or an error event arrived.
	done   bool
	failed string
	err    error
}

// streams are callers that read at the same time.
type streams struct {
	all   []*stream
	group sync.WaitGroup
	first chan struct{}
}

// stream starts callers at the entries, in turn, and returns when every one has its first output or has ended.
func (w *world) stream(count, tokens int, entries ...string) *streams {
	s := &streams{first: make(chan struct{}, count)}

	for i := range count {
		each := &stream{prompt: longPrompt(i, tokens)}
		s.all = append(s.all, each)
		s.group.Go(func() { w.read(each, tokens, entries[i%len(entries)], sync.OnceFunc(func() { s.first <- struct{}{} })) })
	}

	return s
}

// running waits until every caller has its first output.
func (s *streams) running() {
	for range s.all {
		<-s.first
	}
}

// longPrompt returns a prompt whose answer is at least as long as the token limit.
func longPrompt(number, tokens int) string {
	for try := 0; ; try++ {
		prompt := fmt.Sprintf("prompt %d, try %d", number, try)
		if len(answer(prompt, tokens)) == tokens {
			return prompt
		}
	}
}

func answer(prompt string, tokens int) []string {
	words, _ := standin.Output(engine.Request{
		Adapter: engine.Adapter{Name: "quote", Version: "v1"}, Prompt: prompt, MaxTokens: int64(tokens),
	})

	return words
}

func (w *world) read(s *stream, tokens int, entry string, first func()) {
	defer first()

	ctx, cancel := context.WithTimeout(w.ctx, callTime)
	defer cancel()

	body := fmt.Sprintf(`{"model":"quote@v1","prompt":%q,"max_tokens":%d,"stream":true}`, s.prompt, tokens)

	response, err := w.open(ctx, entry, http.MethodPost, "/v1/completions", body, w.key, "")
	if err != nil {
		s.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()

	s.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)

	for lines.Scan() {
		s.line(lines.Text())
		first()
	}

	s.err = lines.Err()
}

func (s *stream) line(line string) {
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

// whole reports whether the caller has the complete answer to its own request.
func (s *stream) whole(tokens int) bool {
	return s.done && s.failed == "" && s.text == strings.Join(answer(s.prompt, tokens), "")
}

// get decodes what a stand-in returns.
func get[T any](w *world, name, path string) T {
	w.t.Helper()

	var value T

	got := w.call(name, http.MethodGet, path, "", "", "")
	assert.NilError(w.t, got.err)
	assert.NilError(w.t, json.Unmarshal([]byte(got.body), &value))

	return value
}

func (w *world) engineRequests(domain string) int64 {
	return get[standin.Record](w, "engine-"+domain, "/record").Requests
}

// busiest returns the failure domain whose engine has accepted most requests since the fleet was ready.
func (w *world) busiest() string {
	most := fleet.Domains[0]

	for _, domain := range fleet.Domains {
		if w.engineRequests(domain)-w.warm[domain] > w.engineRequests(most)-w.warm[most] {
			most = domain
		}
	}

	return most
}

// bookings adds up how often each order was booked at all order servers.
func (w *world) bookings() map[string]int64 {
	total := map[string]int64{}

	for _, name := range []string{"order-a", "order-b"} {
		for body, count := range get[order.Record](w, name, "/record").Bookings {
			total[body] += count
		}
	}

	return total
}

// log returns what a process has written.
func (w *world) log(name string) string {
	data, err := os.ReadFile(w.Process(name).LogPath)
	assert.NilError(w.t, err)

	return string(data)
}
