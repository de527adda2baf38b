package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

// Status shows the state of the fleet.
type Status struct{}

func (*Status) run(ctx context.Context, s *session) error {
	var status api.Status
	if err := s.client.Get(ctx, "/status", nil, &status); err != nil {
		return err
	}

	return s.print(status, func(out io.Writer) { printStatus(out, status) })
}

func printStatus(out io.Writer, status api.Status) {
	freshness := "serves keyed requests"
	if !status.Fresh {
		freshness = "refuses keyed requests, because its version is not confirmed"
	}

	printLine(out, "%s has version %d and %s", status.Entry, status.Version, freshness)

	if len(status.PendingRevocations) > 0 {
		printLine(out, "revoked, not yet committed: %s", strings.Join(status.PendingRevocations, ", "))
	}

	printEntries(out, status.Entries)
	printDomains(out, status.Domains)
	printServers(out, status.Servers)
	printHolders(out, status.Holders)
}

func printEntries(out io.Writer, entries []api.Entry) {
	rows := newTable(out, "ENTRY", "DOMAIN", "VERSION", "STATE")
	for _, entry := range entries {
		rows.add(entry.Name, entry.Domain, formatVersion(entry.Version), string(entry.State))
	}

	rows.flush()
}

func printDomains(out io.Writer, domains []api.Domain) {
	rows := newTable(out, "DOMAIN", "ENTRIES", "SERVERS", "STATE")
	for _, domain := range domains {
		rows.add(domain.Name, strconv.Itoa(domain.Entries), strconv.Itoa(domain.Servers), formatState(domain.Out, domain.Reason))
	}

	rows.flush()
}

func printServers(out io.Writer, servers []api.Server) {
	rows := newTable(out, "SERVER", "VM", "DOMAIN", "SERVES", "STATE")
	for _, server := range servers {
		rows.add(server.Name, server.VM, server.Domain, strings.Join(server.Serves, " "), formatState(server.OutReason != "", server.OutReason))
	}

	rows.flush()
}

func printHolders(out io.Writer, holders map[string][]api.Holder) {
	rows := newTable(out, "ACCOUNT", "HOLDER", "DOMAIN", "SHARE")

	for _, account := range slices.Sorted(maps.Keys(holders)) {
		for _, holder := range holders[account] {
			rows.add(account, holder.Name, holder.Domain, fmt.Sprintf("%.1f%%", holder.Share*100))
		}
	}

	rows.flush()
}

func formatState(out bool, reason string) string {
	if out {
		return "out: " + reason
	}

	return "in"
}

func formatVersion(version int64) string {
	if version < 0 {
		return "-"
	}

	return strconv.FormatInt(version, 10)
}

// Explain shows what applies to a request and why.
type Explain struct {
	Account string `arg:"--account"`
	Adapter string `arg:"--adapter"`
	Route   string `arg:"--route"`
	Server  string `arg:"--server"`
	Domain  string `arg:"--domain"`
}

func (e *Explain) run(ctx context.Context, s *session) error {
	query := url.Values{}

	for name, value := range map[string]string{
		"account": e.Account, "adapter": e.Adapter, "route": e.Route, "server": e.Server, "domain": e.Domain,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}

	var explanation api.Explanation
	if err := s.client.Get(ctx, "/explain", query, &explanation); err != nil {
		return err
	}

	return s.print(explanation, func(out io.Writer) { printExplanation(out, explanation) })
}

func printExplanation(out io.Writer, explanation api.Explanation) {
	value := explanation.Value
	rows := newTable(out, "FIELD", "VALUE", "FROM", "REASON")

	for _, field := range []struct {
		name  string
		value any
	}{
		{"timeout", time.Duration(value.Timeout)},
		{"output", value.Output},
		{"body", value.Body},
		{"limit", value.Limit},
		{"ramp", value.Ramp},
		{"queue", value.Queue},
		{"priority", value.Priority},
		{"weight", value.Weight},
	} {
		from, reason := "default", ""

		if name, ok := explanation.Sources[field.name]; ok {
			exception := explanation.Exceptions[name]
			from = fmt.Sprintf("exception %s (%s %s)", name, exception.Scope, exception.Target)
			reason = fmt.Sprintf("%s (%s)", exception.Reason, exception.Author)
		}

		rows.add(field.name, fmt.Sprint(field.value), from, reason)
	}

	rows.flush()

	if explanation.Account != nil {
		printLine(out, "account %s: rate %g tokens/s, burst %d tokens", explanation.Query.Account, explanation.Account.Rate, explanation.Account.Burst)
	}

	if explanation.Adapter != nil {
		printLine(out, "adapter %s: model %s, pinned to %s", explanation.Query.Adapter, explanation.Adapter.Model, explanation.Adapter.Pin)
	}

	for _, note := range explanation.Notes {
		printLine(out, "note: %s", note)
	}
}

// Audit lists changes.
type Audit struct {
	Author  string `arg:"--author" help:"only changes of this operator"`
	Section string `arg:"--section" help:"only changes of this section"`
	Name    string `arg:"--name" help:"only changes of items with this name"`
	Limit   int    `arg:"--limit" default:"50" help:"at most this many changes, the newest first"`
}

func (a *Audit) run(ctx context.Context, s *session) error {
	query := url.Values{"limit": {strconv.Itoa(a.Limit)}}
	query.Set("author", a.Author)
	query.Set("section", a.Section)
	query.Set("name", a.Name)

	var audit api.Audit
	if err := s.client.Get(ctx, "/audit", query, &audit); err != nil {
		return err
	}

	return s.print(audit, func(out io.Writer) {
		for _, change := range audit.Changes {
			printLine(out, "%s", formatChange(change))
			printEdits(out, change.Edits[:min(len(change.Edits), maxAuditEdits)])

			if hidden := len(change.Edits) - maxAuditEdits; hidden > 0 {
				printLine(out, "  %d more edits; use --json", hidden)
			}
		}
	})
}

// maxAuditEdits is the maximum number of edits that are listed for one change.
const maxAuditEdits = 10

func formatChange(change document.Change) string {
	reason := change.Reason
	if reason == "" {
		reason = "no reason given"
	}

	return fmt.Sprintf("version %d, %s, %s: %s (%d edits)", change.Version, change.Time.Format(time.RFC3339), change.Author, reason, len(change.Edits))
}

// table writes aligned columns. It prints the header before the first row, so a table without rows prints nothing.
type table struct {
	writer *tabwriter.Writer
	header []string
}

func newTable(out io.Writer, header ...string) *table {
	const padding = 2

	return &table{writer: tabwriter.NewWriter(out, 0, 0, padding, ' ', 0), header: header}
}

func (t *table) add(cells ...string) {
	if t.header != nil {
		printLine(t.writer, "%s", strings.Join(t.header, "\t"))
		t.header = nil
	}

	printLine(t.writer, "%s", strings.Join(cells, "\t"))
}

func (t *table) flush() {
	_ = t.writer.Flush()
}
