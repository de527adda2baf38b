package command_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/alexflint/go-arg"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/command"
)

// Guards against a test double that cannot be started from the command line or that keeps running after its context ends.
func TestEachSubcommandStartsAndStops(t *testing.T) {
	for _, kind := range []string{"table", "object", "weight", "vms", "engine", "order"} {
		t.Run(kind, func(t *testing.T) {
			var args command.Args

			parser, err := arg.NewParser(arg.Config{}, &args)
			assert.NilError(t, err)
			assert.NilError(t, parser.Parse([]string{kind, "--listen", "127.0.0.1:0"}))

			ctx, cancel := context.WithCancel(t.Context())
			addresses := make(chan string, 1)
			done := make(chan error, 1)
			args.Ready = func(address string) { addresses <- address }

			go func() { done <- args.Run(ctx) }()

			call := rest.Call{Method: http.MethodGet, URL: "http://" + <-addresses + "/switch"}
			_, err = rest.Bytes(t.Context(), call)
			assert.NilError(t, err)
			cancel()
			assert.NilError(t, <-done)
		})
	}

	assert.Assert(t, fault.Is((&command.Args{}).Run(t.Context()), fault.InvalidRequest))
}
