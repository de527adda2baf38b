package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/ops"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/client"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const token = "example-operator-token"

// outageTable is an in-memory table whose reads can be made to fail.
type outageTable struct {
	table.Memory
	down atomic.Bool
}

func (o *outageTable) Get(ctx context.Context, key string) (table.Row, error) {
	if o.down.Load() {
		return table.Row{}, fault.New(fault.TableUnavailable, "simulated outage")
	}

	return o.Memory.Get(ctx, key)
}

// testCLI runs commands against an operator API in the test process.
type testCLI struct {
	t       *testing.T
	address string
	token   string
	table   *outageTable
	board   *board.Board
}

func newTestCLI(t *testing.T) *testCLI {
	t.Helper()

	c := &testCLI{t: t, table: &outageTable{}, board: &board.Board{}}
	c.board.VMs.Set(vms.List{Sequence: 1, VMs: []vms.VM{
		{Name: "entry-a1", Address: "127.0.0.1:8081", Domain: "a", Role: vms.RoleEntry},
		{Name: "gpu-a1", Address: "127.0.0.1:8101", Domain: "a", Role: vms.RoleAgent, Server: "engine-a1", Serves: []string{"model/base"}},
		{Name: "gpu-b1", Address: "127.0.0.2:8101", Domain: "b", Role: vms.RoleAgent, Server: "engine-b1", Serves: []string{"model/base"}},
	}})

	commits := &store.Store{Table: c.table}
	follower := &follow.Follower{Board: c.board, Store: commits, Self: follow.Self{Name: "entry-a1", Address: "127.0.0.1:8081", Domain: "a"}}
	assert.NilError(t, follower.CatchUpHead(context.Background()))

	api := &ops.API{
		Board: c.board, Store: commits, Follower: follower, Name: "entry-a1",
		Operators: []settings.Operator{{Name: "marisol", Hash: keys.Hash(token)}},
	}
	server := echo.New()
	api.Register(server)

	listening := httptest.NewServer(server)
	t.Cleanup(listening.Close)

	c.address = listening.URL
	c.token = filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(c.token, []byte(token+"\n"), 0o600))

	return c
}

// run executes a command line and returns its output and exit code.
func (c *testCLI) run(line ...string) (string, int) {
	c.t.Helper()

	var (
		out  bytes.Buffer
		args = ctl.Args{Out: &out, Err: &out}
	)

	parser, err := arg.NewParser(arg.Config{}, &args)
	assert.NilError(c.t, err)
	assert.NilError(c.t, parser.Parse(append([]string{"--address", c.address, "--token-file", c.token, "--wait", "0s"}, line...)))

	err = args.Run(context.Background())
	if err == nil {
		return out.String(), 0
	}

	var exit *ctl.ExitError

	assert.Assert(c.t, errors.As(err, &exit))

	return out.String() + "error: " + err.Error() + "\n", exit.Code
}

var nondeterministic = regexp.MustCompile(`cbk-[A-Za-z0-9_-]{43}|key-[0-9a-f-]{36}|"hash":"[0-9a-f]{64}"|\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// Guards against unintended changes of the output, and against wrong exit codes.
func TestSession(t *testing.T) {
	c := newTestCLI(t)

	var log bytes.Buffer

	for _, line := range [][]string{
		{"status"},
		{"apply", "../../../examples/fleet.yaml", "--reason", "first fleet"},
		{"apply", "../../../examples/fleet.yaml", "--reason", "again"},
		{"diff", "testdata/changed.yaml"},
		{"apply", "testdata/changed.yaml", "--reason", "outdated", "--version", "0"},
		{"apply", "testdata/bad.yaml", "--reason", "mistakes"},
		{"key", "grant", "pistas", "--reason", "new caller"},
		{"key", "grant", "nobody"},
		{"key", "revoke", "key-unknown", "--reason", "typo"},
		{"domain", "out", "b", "--reason", "power work until Friday"},
		{"domain", "out", "x", "--reason", "typo"},
		{"exception", "add", "slow-engine", "--scope", "server", "--target", "engine-b1", "--set", "limit=4", "--reason", "fan broken"},
		{"exception", "add", "no-reason", "--scope", "server", "--target", "engine-b1", "--set", "ramp=99", "--reason", " "},
		{"exception", "add", "bad-field", "--scope", "server", "--target", "engine-b1", "--set", "speed=9", "--reason", "x"},
		{"status"},
		{"explain", "--account", "pothpath", "--adapter", "quote", "--server", "engine-b1"},
		{"domain", "in", "b"},
		{"exception", "drop", "slow-engine", "--reason", "fan replaced"},
		{"vm", "out", "gpu-a1", "--reason", "replaced soon"},
		{"vm", "in", "gpu-a1"},
		{"show"},
		{"show", "account", "pistas"},
		{"audit", "--limit", "8"},
		{"audit", "--section", "key"},
	} {
		out, code := c.run(line...)
		log.WriteString("$ ctl")

		for _, word := range line {
			log.WriteString(" " + word)
		}

		log.WriteString("\n" + out + "exit code " + string(rune('0'+code)) + "\n\n")
	}

	golden.Assert(t, nondeterministic.ReplaceAllString(log.String(), "(changing)"), "session.golden")
}

// Guards against a command that hangs, a wrong exit code, and an unhelpful error message when no entry is reachable.
func TestUnreachable(t *testing.T) {
	c := newTestCLI(t)
	c.address = "http://127.0.0.1:1"

	out, code := c.run("status")
	assert.Equal(t, code, ctl.ExitUnreachable)
	assert.Assert(t, cmp.Contains(out, "no entry can be reached at http://127.0.0.1:1; check that one runs there"))
}

// Guards against a client that fails at the first unreachable entry. Also covers the diff of a fleet file by the API.
func TestClientTriesTheNextEntry(t *testing.T) {
	c := newTestCLI(t)

	var diff api.Diff

	operator := client.New(token, "http://127.0.0.1:1", c.address)
	file := api.File{Text: "model: {base: {context: 8192}}"}
	assert.NilError(t, operator.Post(t.Context(), "/diff", file, &diff))
	assert.Equal(t, len(diff.Edits), 1)
	assert.Equal(t, diff.Edits[0].Name, "base")
}

// Guards against a change that is reported as committed during a table outage, and against an invalid token that is accepted.
func TestOutage(t *testing.T) {
	c := newTestCLI(t)

	_, code := c.run("apply", "../../../examples/fleet.yaml", "--reason", "first fleet")
	assert.Equal(t, code, 0)

	out, code := c.run("--json", "key", "grant", "pistas")
	assert.Equal(t, code, 0)

	var granted struct{ ID string }

	assert.NilError(t, json.Unmarshal([]byte(out), &granted))
	c.table.down.Store(true)

	out, code = c.run("domain", "out", "b", "--reason", "work")
	assert.Equal(t, code, ctl.ExitFailed)
	assert.Assert(t, strings.Contains(out, "table_unavailable"), out)

	_, code = c.run("key", "revoke", granted.ID, "--reason", "leaked")
	assert.Equal(t, code, ctl.ExitNotInForce)

	out, _ = c.run("status")
	assert.Assert(t, strings.Contains(out, "revoked, not yet committed: "+granted.ID), out)

	assert.NilError(t, os.WriteFile(c.token, []byte("wrong"), 0o600))

	out, code = c.run("status")
	assert.Equal(t, code, ctl.ExitFailed)
	assert.Assert(t, strings.Contains(out, "forbidden"), out)
}

// Guards against "in force" being reported before the freshness limit has passed.
func TestReportWaitsForFreshnessLimit(t *testing.T) {
	c := newTestCLI(t)

	out, code := c.run("domain", "out", "b", "--reason", "work", "--wait", "100ms")
	assert.Equal(t, code, ctl.ExitNotInForce, out)

	out, code = c.run("report", "0")
	assert.Equal(t, code, ctl.ExitNotInForce, out)
}

// Guards against a fleet file that fails because it is too large for one change, both when its items are added and when they
// are deleted.
func TestLargeFleet(t *testing.T) {
	const adapters = 9000

	c := newTestCLI(t)
	large := filepath.Join(t.TempDir(), "large.yaml")
	small := filepath.Join(t.TempDir(), "small.yaml")

	var text strings.Builder

	text.WriteString("model: {base: {context: 8192}}\nadapter:\n")

	for i := range adapters {
		fmt.Fprintf(&text, "  bookplate-%d:\n    model: base\n    versions: [v1]\n    pin: v1\n", i)
	}

	assert.NilError(t, os.WriteFile(large, []byte(text.String()), 0o600))
	assert.NilError(t, os.WriteFile(small, []byte("model: {other: {context: 1}}\n"), 0o600))

	out, code := c.run("apply", large, "--reason", "large")
	assert.Equal(t, code, 0, out)
	assert.Equal(t, len(c.board.Document.Value().Adapters), adapters)
	assert.Assert(t, c.board.Document.Value().Version > 1)

	out, code = c.run("apply", small, "--reason", "small")
	assert.Equal(t, code, 0, out)
	assert.Equal(t, len(c.board.Document.Value().Adapters), 0)
	assert.Equal(t, len(c.board.Document.Value().Models), 1)
}
