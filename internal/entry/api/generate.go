package api

import (
	"context"
	"slices"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

// defaultTemperature is that of the OpenAI API.
const defaultTemperature = 1

func (a *API) chat(state *call) error {
	return a.generate(state, routeChat, shapeChat{}, (*completionRequest).chatPrompt)
}

func (a *API) completion(state *call) error {
	return a.generate(state, routeCompletion, shapeText{}, (*completionRequest).textPrompt)
}

// generate serves both kinds of completion.
func (a *API) generate(state *call, builtin string, form shape, render func(*completionRequest) (string, error)) error {
	route := routeName(state.doc, state.echo.Request().URL.Path, builtin)
	if err := a.authenticate(state, route); err != nil {
		return err
	}

	defaults := a.Resolver.Resolve(state.doc, Target{Route: route, Account: state.account})

	data, err := state.body(defaults.Body)
	if err != nil {
		return err
	}

	asked, err := parseCompletion(data)
	if err != nil {
		return err
	}

	prompt, err := render(&asked)
	if err != nil {
		return err
	}

	if state.leaks(prompt, asked.Model, strings.Join(asked.Stop, "\n")) {
		return leaked("prompt")
	}

	request, err := a.plan(state, &asked, prompt)
	if err != nil {
		return err
	}

	if asked.Stream {
		return a.stream(state, request, newStream(state, form, request, asked.Options.Usage))
	}

	return a.whole(state, request, newBuffer(state, form, request))
}

// plan resolves the adapter, the limits and the cost of a generation.
func (a *API) plan(state *call, asked *completionRequest, prompt string) (relay.Request, error) {
	name, version, model, err := resolveAdapter(state, asked.Model)
	if err != nil {
		return relay.Request{}, err
	}

	defaults := a.Resolver.Resolve(state.doc, Target{Route: state.route, Account: state.account, Adapter: name})

	tokens := promptTokens(prompt)

	output, err := outputLimit(state.doc.Models[model], asked, tokens, defaults)
	if err != nil {
		return relay.Request{}, err
	}

	deadline, err := state.deadline(defaults)
	if err != nil {
		return relay.Request{}, err
	}

	temperature := float64(defaultTemperature)
	if asked.Temperature != nil {
		temperature = *asked.Temperature
	}

	return relay.Request{
		ID:       state.id,
		Account:  state.account,
		Key:      state.key,
		Route:    state.route,
		Priority: defaults.Priority,
		Cost:     tokens + output,
		Deadline: deadline,
		Check:    a.check(state),
		Work: relay.Generate{Generate: &rpc.Generate{
			Model:        model,
			Adapter:      name,
			Version:      version,
			Prompt:       prompt,
			MaxTokens:    output,
			PromptTokens: tokens,
			Temperature:  temperature,
			Seed:         asked.Seed,
			Stop:         asked.Stop,
		}},
	}, nil
}

// resolveAdapter reads adapter@version, or adapter alone, whose version is the document's pin. It is done once for each
// request, so that retries and resumes keep the version.
func resolveAdapter(state *call, wanted string) (name, version, model string, err error) {
	name, version, explicit := strings.Cut(wanted, "@")

	adapter, ok := state.doc.Adapters[name]
	if !ok || (len(adapter.Accounts) > 0 && !slices.Contains(adapter.Accounts, state.account)) {
		return "", "", "", fault.New(fault.UnknownAdapter, "there is no adapter %q", name).WithParam("model")
	}

	if !explicit {
		version = adapter.Pin
	}

	if !slices.Contains(adapter.Versions, version) {
		return "", "", "", fault.New(fault.UnknownVersion, "adapter %q has no version %q", name, version).WithParam("model")
	}

	return name, version, adapter.Model, nil
}

// outputLimit returns the maximum of output tokens, within the model's context. Only a default is reduced to fit.
func outputLimit(model document.Model, asked *completionRequest, prompt int64, defaults document.Default) (int64, error) {
	wanted, param := asked.output()
	room := model.Context - prompt

	switch {
	case model.Context == 0 && wanted > 0:
		return wanted, nil
	case model.Context == 0:
		return defaults.Output, nil
	case room < 1:
		return 0, fault.New(fault.TooLarge, "the prompt has about %d tokens and the model's context %d", prompt, model.Context)
	case wanted > room:
		return 0, invalid(param, "and the prompt exceed the model's context")
	case wanted > 0:
		return wanted, nil
	default:
		return min(defaults.Output, room), nil
	}
}

// run debits the cost, sends the request and refunds what was not produced, once.
func (a *API) run(state *call, request relay.Request, send func(context.Context) (relay.Result, error)) (relay.Result, error) {
	ctx, cancel := context.WithDeadline(state.echo.Request().Context(), request.Deadline)
	defer cancel()

	if request.Cost == 0 {
		var err error

		state.result, err = send(ctx)

		return state.result, err
	}

	if burst := state.doc.Accounts[state.account].Burst; request.Cost > burst {
		return relay.Result{}, fault.New(fault.TooLarge, "the request costs %d tokens and the client account's burst is %d", request.Cost, burst)
	}

	charge, err := a.Limits.Debit(ctx, state.account, request.Cost)
	if err != nil {
		return relay.Result{}, err
	}

	state.result, err = send(ctx)

	if unused := unusedTokens(request, state.result); unused > 0 {
		a.Limits.Refund(charge, unused)
	}

	return state.result, err
}

// unusedTokens returns what is to be refunded: everything if this call started nothing, otherwise the output that was not
// produced. Calls of plain services that may have run are charged in full.
func unusedTokens(request relay.Request, result relay.Result) int64 {
	if !result.MayHaveStarted {
		return request.Cost
	}

	work, ok := request.Work.(relay.Generate)
	if !ok {
		return 0
	}

	output := result.OutputTokens
	if result.Done != nil {
		output = max(output, result.Done.OutputTokens)
	}

	unused := max(request.Cost-work.PromptTokens-output, 0)
	invariant.Check(unused <= request.Cost, "api.refund", "refund of %d for a debit of %d", unused, request.Cost)

	return unused
}
