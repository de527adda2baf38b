package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callTimeout is above every deadline of the system, so that a call ends early only if its caller cancels it.
	callTimeout = 90 * time.Second
	// overload is the load of the first account as a multiple of its rate.
	overload = 5
	// normalLoad is the approximate load of each other account as a fraction of its rate.
	normalLoad = 0.6
	// meanCost is the mean cost of a call in tokens after refunds, from which the call rates are derived.
	meanCost = 45
	// zipfExponent is the exponent of the Zipf distribution of adapter popularity.
	zipfExponent = 1.7
	// maxOutputTokens is the largest max_tokens of a request.
	maxOutputTokens = 48
)

// kind is the kind of a call.
type kind int

const (
	kindText kind = iota
	kindChat
	kindStream
	kindChatStream
	kindOrder
	kindAvailability
)

// callResult is one call and its result as its caller saw it.
type callResult struct {
	kind  kind
	nonce string
	key   credential
	entry string
	// adapter, version, prompt and tokens describe a completion; prompt is the one that the engine receives.
	adapter, version, prompt string
	tokens                   int64
	// idempotencyKey is the key of an order, empty for other calls.
	idempotencyKey string
	sent           time.Time
	ended          time.Time
	// status is the HTTP status, or 0 without a response.
	status int
	// code and ran are those of an error response.
	code string
	ran  string
	// message is the message of an error response, for reports only.
	message string
	text    string
	body    string
	// outputTokens is the number of events with text, or the number of output tokens that a response without streaming
	// reports.
	outputTokens int64
	// complete is true if the response ended as the protocol requires.
	complete bool
	// canceled is true if the caller was set to cancel the call.
	canceled bool
	// refused is true if the connection was refused, so that nothing was sent.
	refused bool
	err     error
}

// loadGenerator sends the calls of all accounts in a run.
type loadGenerator struct {
	fleet *Fleet
	seed  uint64
	wait  sync.WaitGroup
	// client is the source of the calls on the network.
	client *process
}

func newLoadGenerator(f *Fleet, seed uint64) *loadGenerator {
	return &loadGenerator{fleet: f, seed: seed, client: newProcess("callers", "")}
}

// run sends calls of all accounts until the context ends and returns when all calls have ended.
func (c *loadGenerator) run(ctx context.Context) {
	for i, account := range accounts {
		callRate := rate / meanCost * normalLoad
		if i == 0 {
			callRate = rate / meanCost * overload
		}

		c.wait.Go(func() { c.generate(ctx, account, callRate, rand.New(rand.NewPCG(c.seed, uint64(i)))) })
	}

	c.wait.Wait()
}

// generate sends the calls of one account as a Poisson process until the context ends.
func (c *loadGenerator) generate(ctx context.Context, account string, callRate float64, random *rand.Rand) {
	popularity := rand.NewZipf(random, zipfExponent, 1, adapterCount-1)

	for number := 0; ; number++ {
		pause := time.Duration(random.ExpFloat64() / callRate * float64(time.Second))

		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}

		call := c.randomCall(account, number, popularity, random)
		cancelAfter := time.Duration(0)

		if random.IntN(20) == 0 {
			cancelAfter = time.Duration(random.IntN(400)+1) * time.Millisecond
		}

		retries := random.IntN(3)
		firstEntry := random.Uint64()

		c.wait.Go(func() { c.call(call, cancelAfter, retries, firstEntry) })
	}
}

// randomCall returns a random call of an account.
func (c *loadGenerator) randomCall(account string, number int, popularity *rand.Zipf, random *rand.Rand) callResult {
	credentials := c.fleet.keys[account]
	call := callResult{
		nonce: fmt.Sprintf("%s-%d", account, number),
		key:   credentials[random.IntN(len(credentials))],
		entry: domains[random.IntN(len(domains))],
		kind:  kind(random.IntN(int(kindAvailability) + 1)),
	}
	call.adapter = adapterName(int(popularity.Uint64()))
	call.version = []string{"1", "1", "1", "2"}[random.IntN(4)]
	call.tokens = int64(random.IntN(maxOutputTokens) + 1)
	call.prompt = fmt.Sprintf("#%s# %s", call.nonce, strings.Repeat("word ", random.IntN(10)))

	if call.kind == kindOrder {
		call.idempotencyKey = "key-" + call.nonce
	}

	return call
}

// call makes a call. Orders are retried with the same idempotency key through other entries, partly concurrently.
func (c *loadGenerator) call(call callResult, cancelAfter time.Duration, retries int, firstEntry uint64) {
	if call.kind != kindOrder {
		c.callOnce(call, cancelAfter)
		return
	}

	var group sync.WaitGroup

	for i := range retries + 1 {
		retry := call
		retry.entry = domains[(firstEntry+uint64(i))%uint64(len(domains))]

		if i == 0 {
			retry.entry = call.entry
		}

		if i%2 == 0 {
			group.Wait()
		}

		group.Go(func() { c.callOnce(retry, cancelAfter*time.Duration(1-min(i, 1))) })
	}

	group.Wait()
}

// callOnce makes one call and records its result.
func (c *loadGenerator) callOnce(call callResult, cancelAfter time.Duration) {
	result := &call
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)

	defer cancel()

	if cancelAfter > 0 {
		result.canceled = true

		timer := time.AfterFunc(cancelAfter, cancel)
		defer timer.Stop()
	}

	result.sent = time.Now()
	result.err = c.send(ctx, result)
	result.ended = time.Now()
	result.refused = result.err != nil && errors.Is(result.err, errRefused)
	c.fleet.record.recordResult(result)
}

func (c *loadGenerator) send(ctx context.Context, result *callResult) error {
	request, err := result.request(ctx)
	if err != nil {
		return err
	}

	transport := &http.Transport{DisableKeepAlives: true, DialContext: c.dial}
	defer transport.CloseIdleConnections()

	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}

	defer func() { _ = response.Body.Close() }()

	result.status = response.StatusCode

	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return result.readStream(response.Body)
	}

	return result.readJSON(response.Body)
}

func (c *loadGenerator) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return c.fleet.network.dial(ctx, c.client, address)
}

func (a *callResult) request(ctx context.Context) (*http.Request, error) {
	method, path, body := a.target()

	request, err := http.NewRequestWithContext(ctx, method, "http://"+entryName(a.entry)+":80"+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.key.secret)
	request.Header.Set("X-Secret", a.key.secret)

	if a.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", a.idempotencyKey)
	}

	return request, nil
}

// target returns the method, path and body of the call and sets the prompt that the engine receives for a chat.
func (a *callResult) target() (method, path, body string) {
	fields := map[string]any{"model": a.adapter + "@" + a.version, "max_tokens": a.tokens}

	switch a.kind {
	case kindOrder:
		return http.MethodPost, "/booking/book", a.prompt
	case kindAvailability:
		return http.MethodGet, "/floors/availability?day=1", ""
	case kindChat, kindChatStream:
		fields["messages"] = []map[string]string{{"role": "user", "content": a.prompt}}
		fields["stream"] = a.kind == kindChatStream
		a.prompt = "<|user|>\n" + a.prompt + "\n<|assistant|>\n"
		path = "/v1/chat/completions"
	default:
		fields["prompt"] = a.prompt
		fields["stream"] = a.kind == kindStream
		path = "/v1/completions"
	}

	data, _ := json.Marshal(fields)

	return http.MethodPost, path, string(data)
}

// object is the JSON object of a response or of a stream event.
type object struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Output int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func (o *object) text() string {
	var text string

	for _, choice := range o.Choices {
		text += choice.Text + choice.Message.Content + choice.Delta.Content
	}

	return text
}

// readJSON reads a response without streaming.
func (a *callResult) readJSON(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}

	a.body = string(data)

	var found object

	if err := json.Unmarshal(data, &found); err != nil {
		return errors.Wrap(err, "decode response")
	}

	if found.Error != nil {
		a.code = found.Error.Code
		a.ran = found.Error.Ran
		a.message = found.Error.Message

		return nil
	}

	a.complete = a.status == http.StatusOK
	a.text = found.text()
	a.outputTokens = found.Usage.Output

	return nil
}

// readStream reads a stream of server-sent events.
func (a *callResult) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)

	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}

		if data == "[DONE]" {
			a.complete = true
			continue
		}

		var found object

		if err := json.Unmarshal([]byte(data), &found); err != nil {
			return errors.Wrap(err, "decode event")
		}

		if found.Error != nil {
			a.code = found.Error.Code
			a.ran = found.Error.Ran
			a.message = found.Error.Message
		}

		if text := found.text(); text != "" {
			a.text += text
			a.outputTokens++
		}
	}

	return lines.Err()
}
