package rest_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/platform/rest"
)

// Guards against a response that takes all memory, and against a limit that truncates instead of failing.
func TestBodiesAreBounded(t *testing.T) {
	data, err := rest.ReadAll(strings.NewReader("12345"), 5)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "12345")

	_, err = rest.ReadAll(strings.NewReader("123456"), 5)
	assert.Assert(t, errors.Is(err, rest.ErrTooLarge), "%v", err)
}
