package ctl_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/follow"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/ops"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

const token = "example-operator-token"

// console runs commands against an operator API in this process.
type console struct {
	t       *testing.T
	address string
	token   string
	table   *table.Memory
	board   *board.Board
}

func newConsole(t *testing.T) *console {
	t.Helper()

	c := &console{t: t, table: &table.Memory{}, board: &board.Board{}}
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

// run returns the output and the exit code of a command line.
func (c *console) run(line ...string) (string, int) {
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

var changing = regexp.MustCompile(`cbk-[A-Za-z0-9_-]{43}|key-[0-9a-f-]{36}|"hash":"[0-9a-f]{64}"|\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// Guards against output that changes unnoticed, and against wrong exit codes.
func TestSession(t *testing.T) {
	c := newConsole(t)

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

	golden.Assert(t, changing.ReplaceAllString(log.String(), "(changing)"), "session.golden")
}

// Guards against a hanging command and a wrong exit code when no entry runs.
func TestUnreachable(t *testing.T) {
	c := newConsole(t)
	c.address = "http://127.0.0.1:1"

	_, code := c.run("status")
	assert.Equal(t, code, ctl.ExitUnreachable)
}

// Guards against "in force" being reported before the freshness limit has passed.
func TestReportWaitsForFreshnessLimit(t *testing.T) {
	c := newConsole(t)

	out, code := c.run("domain", "out", "b", "--reason", "work", "--wait", "100ms")
	assert.Equal(t, code, ctl.ExitNotInForce, out)

	out, code = c.run("report", "0")
	assert.Equal(t, code, ctl.ExitNotInForce, out)
}
