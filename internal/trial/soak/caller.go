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
	// callTimeout is above every deadline of the system, so that a caller that gives up is a fault of its own choice.
	callTimeout = 90 * time.Second
	// greed is how many times its rate the first account sends.
	greed = 5
	// share is the part of its rate that each other account sends, about.
	share = 0.6
	// meanCost is the mean net cost of a call in tokens, to derive call rates.
	meanCost = 45
	// skew is the exponent of the popularity of adapters.
	skew = 1.7
	// mostOutput bounds max_tokens.
	mostOutput = 48
)

// kind is what a caller asks for.
type kind int

const (
	kindText kind = iota
	kindChat
	kindStream
	kindChatStream
	kindOrder
	kindAvailability
)

// answer is one call as its caller saw it.
type answer struct {
	kind  kind
	nonce string
	key   credential
	entry string
	// adapter, version, prompt and tokens describe a completion; prompt is as the engine sees it.
	adapter, version, prompt string
	tokens                   int64
	// order is the idempotency key of an order.
	order string
	sent  time.Time
	ended time.Time
	// status is 0 when there was no answer.
	status int
	code   string
	ran    string
	// message is the error's text, for reports only.
	message string
	text    string
	body    string
	// words is the number of events with text, or the number of output tokens that a whole answer reports.
	words int64
	// whole says that the answer ended as the protocol wants.
	whole bool
	// left says that the caller went away.
	left bool
	// refused says that the connection was refused, so that nothing was sent.
	refused bool
	err     error
}

// crowd is all callers of a run.
type crowd struct {
	fleet *Fleet
	seed  uint64
	wait  sync.WaitGroup
	// outside is the network name of callers.
	outside *process
}

func newCrowd(f *Fleet, seed uint64) *crowd {
	return &crowd{fleet: f, seed: seed, outside: newProcess("callers", "")}
}

// run sends calls of all accounts until the context ends and returns when all have been answered.
func (c *crowd) run(ctx context.Context) {
	for i, account := range accounts {
		speed := rate / meanCost * share
		if i == 0 {
			speed = rate / meanCost * greed
		}

		c.wait.Go(func() { c.generate(ctx, account, speed, rand.New(rand.NewPCG(c.seed, uint64(i)))) })
	}

	c.wait.Wait()
}

func (c *crowd) generate(ctx context.Context, account string, speed float64, random *rand.Rand) {
	popularity := rand.NewZipf(random, skew, 1, adapterCount-1)

	for number := 0; ; number++ {
		pause := time.Duration(random.ExpFloat64() / speed * float64(time.Second))

		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}

		wanted := c.draw(account, number, popularity, random)
		leave := time.Duration(0)

		if random.IntN(20) == 0 {
			leave = time.Duration(random.IntN(400)+1) * time.Millisecond
		}

		repeats := random.IntN(3)
		other := random.Uint64()

		c.wait.Go(func() { c.call(wanted, leave, repeats, other) })
	}
}

func (c *crowd) draw(account string, number int, popularity *rand.Zipf, random *rand.Rand) answer {
	held := c.fleet.keys[account]
	made := answer{
		nonce: fmt.Sprintf("%s-%d", account, number),
		key:   held[random.IntN(len(held))],
		entry: domains[random.IntN(len(domains))],
		kind:  kind(random.IntN(int(kindAvailability) + 1)),
	}
	made.adapter = adapterName(int(popularity.Uint64()))
	made.version = []string{"1", "1", "1", "2"}[random.IntN(4)]
	made.tokens = int64(random.IntN(mostOutput) + 1)
	made.prompt = fmt.Sprintf("#%s# %s", made.nonce, strings.Repeat("word ", random.IntN(10)))

	if made.kind == kindOrder {
		made.order = "key-" + made.nonce
	}

	return made
}

// call makes a call; orders are repeated with the same key through other entries, partly at the same time.
func (c *crowd) call(wanted answer, leave time.Duration, repeats int, other uint64) {
	if wanted.kind != kindOrder {
		c.once(wanted, leave)
		return
	}

	var group sync.WaitGroup

	for i := range repeats + 1 {
		again := wanted
		again.entry = domains[(other+uint64(i))%uint64(len(domains))]

		if i == 0 {
			again.entry = wanted.entry
		}

		if i%2 == 0 {
			group.Wait()
		}

		group.Go(func() { c.once(again, leave*time.Duration(1-min(i, 1))) })
	}

	group.Wait()
}

// once makes one call and records it.
func (c *crowd) once(wanted answer, leave time.Duration) {
	made := &wanted
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)

	defer cancel()

	if leave > 0 {
		made.left = true

		timer := time.AfterFunc(leave, cancel)
		defer timer.Stop()
	}

	made.sent = time.Now()
	made.err = c.send(ctx, made)
	made.ended = time.Now()
	made.refused = made.err != nil && errors.Is(made.err, errRefused)
	c.fleet.record.answered(made)
}

func (c *crowd) send(ctx context.Context, made *answer) error {
	request, err := made.request(ctx)
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

	made.status = response.StatusCode

	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return made.readStream(response.Body)
	}

	return made.readWhole(response.Body)
}

func (c *crowd) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return c.fleet.network.dial(ctx, c.outside, address)
}

func (a *answer) request(ctx context.Context) (*http.Request, error) {
	method, path, body := a.target()

	request, err := http.NewRequestWithContext(ctx, method, "http://"+entryName(a.entry)+":80"+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}

	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.key.secret)
	request.Header.Set("X-Secret", a.key.secret)

	if a.order != "" {
		request.Header.Set("Idempotency-Key", a.order)
	}

	return request, nil
}

func (a *answer) target() (method, path, body string) {
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

// object is what answers hold.
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

func (a *answer) readWhole(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}

	a.body = string(data)

	var found object

	if err := json.Unmarshal(data, &found); err != nil {
		return errors.Wrap(err, "decode answer")
	}

	if found.Error != nil {
		a.code = found.Error.Code
		a.ran = found.Error.Ran
		a.message = found.Error.Message

		return nil
	}

	a.whole = a.status == http.StatusOK
	a.text = found.text()
	a.words = found.Usage.Output

	return nil
}

func (a *answer) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)

	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}

		if data == "[DONE]" {
			a.whole = true
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
			a.words++
		}
	}

	return lines.Err()
}
