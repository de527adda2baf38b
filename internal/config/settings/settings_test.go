package settings_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
)

// Guards against invalid settings that are accepted, and against errors without the field or the line. Each case replaces a
// text of an example file.
func TestBadSettings(t *testing.T) {
	cases := map[string]struct{ file, old, new string }{
		"unknown field":         {"entry.yaml", "log: info", "colour: red"},
		"wrong type":            {"entry.yaml", "drain: 60s", "drain: [1]"},
		"no unit":               {"entry.yaml", "drain: 60s", "drain: soon"},
		"number without unit":   {"entry.yaml", "drain: 60s", "drain: 60"},
		"negative drain":        {"entry.yaml", "drain: 60s", "drain: -1s"},
		"repeated field":        {"entry.yaml", "log: info", "log: info\nlog: warn"},
		"log level":             {"entry.yaml", "log: info", "log: loud"},
		"host name":             {"entry.yaml", "listen: 127.0.0.1:8080", "listen: localhost:8080"},
		"no port":               {"entry.yaml", "peer: 127.0.0.1:8081", "peer: 127.0.0.1"},
		"same address":          {"entry.yaml", "peer: 127.0.0.1:8081", "peer: 127.0.0.1:8080"},
		"no domain":             {"entry.yaml", "  domain: a\n", ""},
		"table is no URL":       {"entry.yaml", "table: http://127.0.0.1:7001", "table: 127.0.0.1:7001"},
		"short hash":            {"entry.yaml", "hash: ", "hash: abc # "},
		"operator without name": {"entry.yaml", "name: marisol", "name: \"\""},
		"engine and service":    {"agent-engine.yaml", "log: info", "service: http://127.0.0.1:1\nname: press"},
		"neither":               {"agent-engine.yaml", "engine: http://127.0.0.1:9101", ""},
		"service without name":  {"agent-service.yaml", "name: press", ""},
		"engine is no URL":      {"agent-engine.yaml", "engine: http://127.0.0.1:9101", "engine: ftp://x"},
		"no server":             {"agent-service.yaml", "server: press-a1", ""},
	}

	var text strings.Builder

	for _, name := range slices.Sorted(maps.Keys(cases)) {
		tc := cases[name]
		data, err := os.ReadFile("../../../examples/" + tc.file)
		assert.NilError(t, err)

		changed := strings.Replace(string(data), tc.old, tc.new, 1)
		assert.Assert(t, changed != string(data), name)
		fmt.Fprintf(&text, "%s\n%v\n\n", name, settings.Parse([]byte(changed), emptySettings(tc.file)))
	}

	golden.Assert(t, text.String(), "bad_settings.golden")
}

func emptySettings(file string) settings.Settings {
	if file == "entry.yaml" {
		return &settings.Entry{}
	}

	return &settings.Agent{}
}
