package document_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")

	os.Exit(m.Run())
}

// startEdits lead to a small valid document.
const startEdits = `[
	{"section":"model","name":"base","value":{"context":8192}},
	{"section":"route","name":"chat","value":{"path":"/v1/chat/completions","methods":["POST"]}},
	{"section":"account","name":"pistas","value":{"rate":100,"burst":1000,"routes":["chat"]}},
	{"section":"adapter","name":"quote","value":{"model":"base","versions":["v1"],"pin":"v1","accounts":["pistas"]}},
	{"section":"exception","name":"long","value":{"scope":"adapter","target":"quote","set":{"timeout":"90s"},"reason":"long quotes"}},
	{"section":"key","name":"key-1","value":{"hash":"` + hash1 + `","account":"pistas"}},
	{"section":"key","name":"key-2","value":{"hash":"` + hash2 + `","account":"pistas","revoked":true}}
]`

const (
	hash1 = "1111111111111111111111111111111111111111111111111111111111111111"
	hash2 = "2222222222222222222222222222222222222222222222222222222222222222"
)

func change(t assert.TestingT, version int64, edits string) document.Change {
	c := document.Change{Version: version, ID: fmt.Sprint(version), Author: "marisol", Time: time.Unix(version, 0).UTC()}
	assert.NilError(t, json.Unmarshal([]byte(edits), &c.Edits))

	return c
}

func startDocument(t assert.TestingT) *document.Document {
	d, err := document.Empty().Apply(change(t, 1, startEdits))
	assert.NilError(t, err)

	return d
}

// Guards against invalid edits that are accepted, and against errors that do not name section, item and field.
func TestBadEdits(t *testing.T) {
	var text strings.Builder

	for _, edits := range []string{
		`[]`,
		`[{"section":"group","name":"x","value":{}}]`,
		`[{"section":"model","name":"m","value":{"context":1}},{"section":"model","name":"m"}]`,
		`[{"section":"default","name":"other","value":{}}]`,
		`[{"section":"default","name":"fleet"}]`,
		`[{"section":"default","name":"fleet","value":{"limit":2,"ramp":3}}]`,
		`[{"section":"model","name":"Base Two","value":{"context":1}}]`,
		`[{"section":"model","name":"m","value":{"context":0}}]`,
		`[{"section":"model","name":"m","value":{"ctx":1}}]`,
		`[{"section":"model","name":"m","value":null}]`,
		`[{"section":"model","name":"base"}]`,
		`[{"section":"account","name":"pistas"}]`,
		`[{"section":"route","name":"chat"}]`,
		`[{"section":"adapter","name":"quote"}]`,
		`[{"section":"account","name":"a","value":{"rate":0,"burst":0,"routes":["none"]}}]`,
		`[{"section":"account","name":"weights","value":{"rate":1,"burst":1}}]`,
		`[{"section":"adapter","name":"a","value":{"model":"none","versions":["V 1"],"pin":"v2","accounts":["nobody"]}}]`,
		`[{"section":"adapter","name":"a","value":{"model":"base"}}]`,
		`[{"section":"route","name":"r","value":{"path":"x","methods":["FETCH"],"open":true,"cost":-1}}]`,
		`[{"section":"route","name":"r","value":{"path":"/v1/chat/completions","service":"s s"}}]`,
		`[{"section":"exception","name":"e","value":{"scope":"rack","target":"x","set":{}}}]`,
		`[{"section":"exception","name":"e","value":{"scope":"account","target":"nobody","set":{"ramp":99,"weight":0},"reason":"r"}}]`,
		`[{"section":"exception","name":"e","value":{"scope":"adapter","target":"quote","set":{"timeout":"9"},"reason":"r"}}]`,
		`[{"section":"exception","name":"e","value":{"scope":"adapter","target":"quote","set":{"timeout":"9s"},"reason":"r"}}]`,
		`[{"section":"domain","name":"b","value":{"out":true}}]`,
		`[{"section":"vm","name":"v","value":{"out":true,"reason":" "}}]`,
		`[{"section":"key","name":"key-3","value":{"hash":"abc","account":"nobody"}}]`,
		`[{"section":"key","name":"key-3","value":{"hash":"` + hash2 + `","account":"pistas"}}]`,
		`[{"section":"key","name":"key-2","value":{"hash":"` + hash2 + `","account":"pistas"}}]`,
		`[{"section":"key","name":"key-2"}]`,
		`[{"section":"key","name":"key-1","value":{"hash":"` + strings.Repeat("3", 64) + `","account":"pistas"}}]`,
	} {
		_, err := startDocument(t).Apply(change(t, 2, edits))
		if err == nil {
			err = fmt.Errorf("ACCEPTED")
		}

		fmt.Fprintf(&text, "%s\n%s\n\n", edits, err)
	}

	golden.Assert(t, text.String(), "bad_edits.golden")
}

// Guards against invalid fleet files that are accepted, and against errors without a line number.
func TestBadFleetFiles(t *testing.T) {
	var text strings.Builder

	for _, file := range []string{
		"model:\n  base: {context: 1}\n  base: {context: 2}\n",
		"model:\n  base:\n    ctx: 1\n",
		"groups: {}\n",
		"default:\n  timeout: 30\n",
		"default:\n  timeout: half an hour\n",
		"default:\n  limit: many\n",
		"default: [\n",
		"key:\n  k: {hash: x}\n",
		"account:\n  a.b:\n    rate: -1\n    burst: 5\n",
		"model:\n  base: {context: 1}\nadapter:\n  quote:\n    model: base\n    versions: [v1]\n    pin: v2\n",
		"exception:\n  e:\n    scope: domain\n    target: b\n    set:\n      limit: 4\n      ramp: 5\n",
	} {
		_, err := document.ParseFleet([]byte(file))
		if err == nil {
			err = fmt.Errorf("ACCEPTED")
		}

		fmt.Fprintf(&text, "%s--\n%s\n\n", file, err)
	}

	golden.Assert(t, text.String(), "bad_files.golden")
}

// Guards against a revoked key that becomes valid again under its id or its hash, after any sequence of edits.
func TestRevokedKeysStayRevoked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := startDocument(t)
		revoked := map[string]bool{hash2: true}

		for range 30 {
			id := rapid.SampledFrom([]string{"key-1", "key-2", "key-3"}).Draw(t, "id")
			hash := rapid.SampledFrom([]string{hash1, hash2, strings.Repeat("3", 64)}).Draw(t, "hash")
			edit := rapid.SampledFrom([]string{
				`[{"section":"key","name":"%s"}]`,
				`[{"section":"key","name":"%s","value":{"hash":"%s","account":"pistas"}}]`,
				`[{"section":"key","name":"%s","value":{"hash":"%s","account":"pistas","revoked":true}}]`,
			}).Draw(t, "edit")

			args := []any{id, hash}
			edits := fmt.Sprintf(edit, args[:strings.Count(edit, "%s")]...)

			next, err := d.Apply(change(t, d.Version+1, edits))
			if err != nil {
				continue
			}

			d = next

			for _, key := range d.Keys {
				assert.Assert(t, key.Revoked || !revoked[key.Hash], "%s is valid again", key.Hash)
				revoked[key.Hash] = key.Revoked
			}

			for hash := range revoked {
				assert.Assert(t, hasHash(d, hash), "%s was forgotten", hash)
			}
		}
	})
}

func hasHash(d *document.Document, hash string) bool {
	for _, key := range d.Keys {
		if key.Hash == hash {
			return true
		}
	}

	return false
}

// Guards against a change that copies or modifies sections that it does not edit.
func TestApplyCopiesChangedSectionsOnly(t *testing.T) {
	before := startDocument(t)
	text, err := json.Marshal(before)
	assert.NilError(t, err)

	after, err := before.Apply(change(t, 2, `[{"section":"account","name":"more","value":{"rate":1,"burst":1}}]`))
	assert.NilError(t, err)
	assert.Equal(t, reflect.ValueOf(after.Adapters).Pointer(), reflect.ValueOf(before.Adapters).Pointer())
	assert.Assert(t, reflect.ValueOf(after.Accounts).Pointer() != reflect.ValueOf(before.Accounts).Pointer())

	unchanged, err := json.Marshal(before)
	assert.NilError(t, err)
	assert.Equal(t, string(unchanged), string(text))
}

// Guards against a replay that copies all adapters for each change. The limit allows one copy of 40,000 adapters.
func TestReplayCopiesAdaptersOnce(t *testing.T) {
	d := startDocument(t)
	for i := range 40000 {
		d.Adapters[fmt.Sprintf("adapter-%d", i)] = d.Adapters["quote"]
	}

	changes := make([]document.Change, 0, 1000)
	for i := range 1000 {
		edits := fmt.Sprintf(`[{"section":"adapter","name":"adapter-%d","value":{"model":"base","versions":["v1"],"pin":"v1"}}]`, i)
		changes = append(changes, change(t, int64(i)+2, edits))
	}

	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)

	_, err := d.Replay(changes)

	runtime.ReadMemStats(&after)
	assert.NilError(t, err)

	copied := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, copied < 20<<20, "%d bytes", copied)
}

// Guards against a diff that does not lead to the other document, and against a fleet file that edits sections outside the
// file.
func TestDiffLeadsToTheOtherDocument(t *testing.T) {
	from := startDocument(t)
	to, err := from.Apply(change(t, 2, `[
		{"section":"default","name":"fleet","value":{"timeout":"9s","output":1,"body":2,"limit":3,"ramp":1,"queue":0,"priority":0,"weight":2}},
		{"section":"exception","name":"long"},
		{"section":"adapter","name":"quote"},
		{"section":"domain","name":"b","value":{"out":true,"reason":"work"}},
		{"section":"account","name":"pistas","value":{"rate":7,"burst":8}}]`))
	assert.NilError(t, err)

	edits, err := document.Diff(from, to)
	assert.NilError(t, err)
	assert.Equal(t, len(edits), 5)

	again, err := from.Apply(document.Change{Version: 2, ID: "2", Author: "marisol", Time: time.Unix(2, 0).UTC(), Edits: edits})
	assert.NilError(t, err)
	assert.DeepEqual(t, again, to)

	fleet, err := document.ParseFleet([]byte("model: {base: {context: 8192}}"))
	assert.NilError(t, err)

	edits, err = fleet.Edits(to)
	assert.NilError(t, err)

	for _, edit := range edits {
		assert.Assert(t, edit.Section != document.SectionKey && edit.Section != document.SectionDomain)
	}
}

// Guards against a less specific exception that overrides a more specific one, and against two exceptions that set a ramp above
// the limit.
func TestResolve(t *testing.T) {
	d, err := startDocument(t).Apply(change(t, 2, `[
		{"section":"exception","name":"domain-b","value":{"scope":"domain","target":"b","set":{"limit":4,"timeout":"5s"},"reason":"r"}},
		{"section":"exception","name":"engine-b1","value":{"scope":"server","target":"engine-b1","set":{"ramp":8},"reason":"r"}},
		{"section":"exception","name":"chat","value":{"scope":"route","target":"chat","set":{"timeout":"7s"},"reason":"r"}}]`))
	assert.NilError(t, err)

	cases := map[string]struct {
		query   document.Query
		timeout time.Duration
		limit   int
		ramp    int
		names   string
	}{
		"defaults":       {document.Query{}, time.Minute, 16, 2, ""},
		"domain":         {document.Query{Domain: "b"}, 5 * time.Second, 4, 2, "domain-b"},
		"route wins":     {document.Query{Domain: "b", Route: "chat"}, 7 * time.Second, 4, 2, "chat domain-b"},
		"adapter wins":   {document.Query{Route: "chat", Adapter: "quote"}, 90 * time.Second, 16, 2, "long"},
		"ramp is capped": {document.Query{Domain: "b", Server: "engine-b1"}, 5 * time.Second, 4, 4, "domain-b engine-b1"},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			explained := d.Explain(tc.query)
			assert.DeepEqual(t, explained.Value, d.Resolve(tc.query))
			assert.Equal(t, time.Duration(explained.Value.Timeout), tc.timeout)
			assert.Equal(t, explained.Value.Limit, tc.limit)
			assert.Equal(t, explained.Value.Ramp, tc.ramp)
			assert.Equal(t, strings.Join(explained.Names(), " "), tc.names)
		})
	}
}
