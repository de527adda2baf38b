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

// defaultTemperature is the default of the OpenAI API.
const defaultTemperature = 1

func (a *API) chat(state *requestState) error {
	return a.generate(state, routeChat, chatFormat{}, (*completionRequest).chatPrompt)
}

func (a *API) completion(state *requestState) error {
	return a.generate(state, routeCompletion, textFormat{}, (*completionRequest).textPrompt)
}

// generate serves chat and text completions.
func (a *API) generate(state *requestState, builtin string, format completionFormat, render func(*completionRequest) (string, error)) error {
	route := routeName(state.doc, state.echo.Request().URL.Path, builtin)
	if err := a.authenticate(state, route); err != nil {
		return err
	}

	defaults := a.Resolver.Resolve(state.doc, Target{Route: route, Account: state.account})

	data, err := state.readBody(defaults.Body)
	if err != nil {
		return err
	}

	parsed, err := parseCompletion(data)
	if err != nil {
		return err
	}

	prompt, err := render(&parsed)
	if err != nil {
		return err
	}

	if state.containsKey(prompt, parsed.Model, strings.Join(parsed.Stop, "\n")) {
		return keyLeakError("prompt")
	}

	request, err := a.planGeneration(state, &parsed, prompt)
	if err != nil {
		return err
	}

	if parsed.Stream {
		return a.sendStream(state, request, newStream(state, format, request, parsed.Options.Usage))
	}

	return a.sendCompletion(state, request, newBuffer(state, format, request))
}

// planGeneration resolves the adapter, the limits and the cost of a generation.
func (a *API) planGeneration(state *requestState, parsed *completionRequest, prompt string) (relay.Request, error) {
	name, version, model, err := resolveAdapter(state, parsed.Model)
	if err != nil {
		return relay.Request{}, err
	}

	defaults := a.Resolver.Resolve(state.doc, Target{Route: state.route, Account: state.account, Adapter: name})

	tokens := promptTokens(prompt)

	output, err := outputLimit(state.doc.Models[model], parsed, tokens, defaults)
	if err != nil {
		return relay.Request{}, err
	}

	deadline, err := state.deadline(defaults)
	if err != nil {
		return relay.Request{}, err
	}

	temperature := float64(defaultTemperature)
	if parsed.Temperature != nil {
		temperature = *parsed.Temperature
	}

	return relay.Request{
		ID:       state.id,
		Account:  state.account,
		Key:      state.keyID,
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
			Seed:         parsed.Seed,
			Stop:         parsed.Stop,
		}},
	}, nil
}

// resolveAdapter parses adapter@version, or adapter alone, which gets the version pinned in the document. It runs once for
// each request, so that retries and resumes use the same version.
func resolveAdapter(state *requestState, requested string) (name, version, model string, err error) {
	name, version, explicit := strings.Cut(requested, "@")

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

// outputLimit returns the maximum number of output tokens. A default is reduced to fit in the model's context; a maximum
// from the caller that does not fit is an error.
func outputLimit(model document.Model, parsed *completionRequest, prompt int64, defaults document.Default) (int64, error) {
	requested, param := parsed.maxOutput()
	available := model.Context - prompt

	switch {
	case model.Context == 0 && requested > 0:
		return requested, nil
	case model.Context == 0:
		return defaults.Output, nil
	case available < 1:
		return 0, fault.New(fault.TooLarge, "the prompt has about %d tokens, but the model's context is %d", prompt, model.Context)
	case requested > available:
		return 0, invalid(param, "and the prompt exceed the model's context")
	case requested > 0:
		return requested, nil
	default:
		return min(defaults.Output, available), nil
	}
}

// run debits the cost, sends the request and refunds the unused tokens once.
func (a *API) run(state *requestState, request relay.Request, send func(context.Context) (relay.Result, error)) (relay.Result, error) {
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

// unusedTokens returns the tokens to refund: all of them if the request was not started, otherwise the output tokens that were
// not produced. Calls of plain services that may have run are charged in full.
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
