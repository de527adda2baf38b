package api_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// Guards against a table of errors in the documentation that differs from the error responses.
func TestErrorsAreDocumented(t *testing.T) {
	text, err := os.ReadFile("../../../docs/errors.md")
	assert.NilError(t, err)

	rows := 0

	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "| `") {
			rows++
		}
	}

	assert.Equal(t, rows, len(fault.Kinds()))

	for _, kind := range fault.Kinds() {
		answer := kind.Response()
		retry := "–"

		if answer.RetryAfter > 0 {
			retry = fmt.Sprintf("%d s", int(answer.RetryAfter.Seconds()))
		}

		row := fmt.Sprintf("| `%s` | %d | %s | %s | %s | %s | ", kind, answer.Status, answer.Type, answer.Ran, retry, answer.Description)
		assert.Assert(t, strings.Contains(string(text), row), row)
	}
}
