package quarantine_test

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
)

// Guards against the part of a request itself counted as shared, and against ids or numbers of parts that fill the memory.
func TestSharedParts(t *testing.T) {
	many := make([]message.PromptPart, 1000)
	for i := range many {
		many[i].ID = strconv.Itoa(i)
	}

	long := strings.Repeat("a", 1000)
	cases := map[string]struct {
		parts []message.PromptPart
		want  []string
	}{
		"none":       {parts: nil, want: nil},
		"only own":   {parts: []message.PromptPart{{ID: "a"}}, want: nil},
		"shared":     {parts: []message.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "c"}}, want: []string{"a", "b"}},
		"long id":    {parts: []message.PromptPart{{ID: long}, {ID: "b"}}, want: []string{"hash:56e43b712eda4223"}},
		"very many":  {parts: many, want: quarantine.SharedParts(many[:33])},
		"two alike":  {parts: []message.PromptPart{{ID: "a"}, {ID: "a"}}, want: []string{"a"}},
		"empty name": {parts: []message.PromptPart{{ID: ""}, {ID: "b"}}, want: []string{""}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, quarantine.SharedParts(c.parts), c.want)
		})
	}

	assert.Equal(t, len(quarantine.SharedParts(many)), 32)
}
