package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"strings"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// Key grants and revokes keys.
type Key struct {
	Grant  *KeyGrant  `arg:"subcommand:grant" help:"make a key for an account and print it once"`
	Revoke *KeyRevoke `arg:"subcommand:revoke" help:"revoke a key for good"`
}

func (k *Key) subcommand() (command, error) {
	switch {
	case k.Grant != nil:
		return k.Grant, nil
	case k.Revoke != nil:
		return k.Revoke, nil
	default:
		return nil, usageError("key: expected grant or revoke")
	}
}

// KeyGrant generates a key for an account.
type KeyGrant struct {
	Account string `arg:"positional,required"`
	Reason  string `arg:"--reason" help:"why; kept in the audit trail"`
}

// grantOutput is the JSON output of a grant.
type grantOutput struct {
	Key    string      `json:"key"`
	ID     string      `json:"id"`
	Result api.Outcome `json:"result"`
}

// run generates the key locally, so that the key itself is never sent or stored.
func (g *KeyGrant) run(ctx context.Context, s *session) error {
	key, id := keys.Generate()
	request := api.Grant{ItemChange: newItemChange(g.Reason), Key: id, Account: g.Account, Hash: keys.Hash(key)}

	var outcome api.Outcome
	if err := s.client.Post(ctx, "/keys", request, &outcome); err != nil {
		return err
	}

	err := s.print(grantOutput{Key: key, ID: id, Result: outcome}, func(out io.Writer) {
		printLine(out, "key %s", key)
		printLine(out, "id %s", id)
		printLine(out, "The key is shown only now.")
	})
	if err != nil {
		return err
	}

	return s.waitInForce(ctx, outcome)
}

// KeyRevoke revokes a key.
type KeyRevoke struct {
	ID     string `arg:"positional,required"`
	Reason string `arg:"--reason,required" help:"why; kept in the audit trail"`
}

func (r *KeyRevoke) run(ctx context.Context, s *session) error {
	return s.changeItem(ctx, "/keys/"+url.PathEscape(r.ID)+"/revoke", r.Reason)
}

// Domain takes failure domains out of service and back in.
type Domain struct {
	Out *Out `arg:"subcommand:out" help:"no new work; running work finishes"`
	In  *In  `arg:"subcommand:in" help:"back in service, with traffic growing over 30 s"`
}

func (d *Domain) subcommand() (command, error) {
	return newStateCommand("domains", d.Out, d.In)
}

// VM takes VMs out of service and back in.
type VM struct {
	Out *Out `arg:"subcommand:out" help:"no new work; running work finishes"`
	In  *In  `arg:"subcommand:in" help:"back in service"`
}

func (v *VM) subcommand() (command, error) {
	return newStateCommand("vms", v.Out, v.In)
}

// Out takes an item out of service.
type Out struct {
	Name   string `arg:"positional,required"`
	Reason string `arg:"--reason,required" help:"why; shown to the next operator"`
}

// In returns an item to service.
type In struct {
	Name   string `arg:"positional,required"`
	Reason string `arg:"--reason" help:"why; kept in the audit trail"`
}

// stateCommand takes a failure domain or VM out of service or back in.
type stateCommand struct {
	path   string
	reason string
}

func newStateCommand(kind string, out *Out, in *In) (command, error) {
	switch {
	case out != nil:
		return &stateCommand{"/" + kind + "/" + url.PathEscape(out.Name) + "/out", out.Reason}, nil
	case in != nil:
		return &stateCommand{"/" + kind + "/" + url.PathEscape(in.Name) + "/in", in.Reason}, nil
	default:
		return nil, usageError("%s: expected out or in", kind)
	}
}

func (c *stateCommand) run(ctx context.Context, s *session) error {
	return s.changeItem(ctx, c.path, c.reason)
}

// Exception adds and drops exceptions.
type Exception struct {
	Add  *ExceptionAdd  `arg:"subcommand:add" help:"add or replace an exception"`
	Drop *ExceptionDrop `arg:"subcommand:drop" help:"drop an exception"`
}

func (e *Exception) subcommand() (command, error) {
	switch {
	case e.Add != nil:
		return e.Add, nil
	case e.Drop != nil:
		return e.Drop, nil
	default:
		return nil, usageError("exception: expected add or drop")
	}
}

// ExceptionAdd adds or replaces an exception.
type ExceptionAdd struct {
	Name   string   `arg:"positional,required"`
	Scope  string   `arg:"--scope,required" help:"domain, server, route, account or adapter"`
	Target string   `arg:"--target,required" help:"name of the domain, server, route, account or adapter"`
	Set    []string `arg:"--set,separate,required" help:"field=value, such as timeout=90s; may be repeated"`
	Reason string   `arg:"--reason,required" help:"why; shown to the next operator"`
}

func (e *ExceptionAdd) run(ctx context.Context, s *session) error {
	patch, err := parsePatch(e.Set)
	if err != nil {
		return err
	}

	request := api.Exception{ItemChange: newItemChange(e.Reason), Scope: document.Scope(e.Scope), Target: e.Target, Set: patch}

	var outcome api.Outcome
	if err := s.client.Put(ctx, "/exceptions/"+url.PathEscape(e.Name), request, &outcome); err != nil {
		return err
	}

	return s.reportOutcome(ctx, outcome)
}

// parsePatch parses field=value pairs. Numeric values become JSON numbers; all others, such as durations, become strings.
func parsePatch(pairs []string) (document.Patch, error) {
	var patch document.Patch

	values := map[string]any{}

	for _, pair := range pairs {
		field, text, ok := strings.Cut(pair, "=")
		if !ok {
			return patch, usageError("--set %s: expected field=value", pair)
		}

		values[field] = text

		if _, err := strconv.ParseFloat(text, 64); err == nil {
			values[field] = json.Number(text)
		}
	}

	data, err := json.Marshal(values)
	if err != nil {
		return patch, usageError("--set: %v", err)
	}

	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&patch); err != nil {
		return patch, usageError("--set: %v", err)
	}

	return patch, nil
}

// ExceptionDrop drops an exception.
type ExceptionDrop struct {
	Name   string `arg:"positional,required"`
	Reason string `arg:"--reason,required" help:"why; kept in the audit trail"`
}

func (e *ExceptionDrop) run(ctx context.Context, s *session) error {
	return s.changeItem(ctx, "/exceptions/"+url.PathEscape(e.Name)+"/drop", e.Reason)
}

func newItemChange(reason string) api.ItemChange {
	return api.ItemChange{ID: ident.New("change"), Reason: reason}
}

// changeItem requests the change of one item and prints the outcome.
func (s *session) changeItem(ctx context.Context, path, reason string) error {
	var outcome api.Outcome
	if err := s.client.Post(ctx, path, newItemChange(reason), &outcome); err != nil {
		return err
	}

	return s.reportOutcome(ctx, outcome)
}
