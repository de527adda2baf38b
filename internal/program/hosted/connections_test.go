package hosted

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/connlimit"
)

// Guards against a bound of connections that ordinary clients meet, and against one that memory or descriptors do not allow.
func TestMaxClientConns(t *testing.T) {
	cases := map[string]struct {
		memoryMB    int64
		descriptors int
		want        int
	}{
		"smallest entry":    {184, 4100, 713},
		"largest entry":     {536, 8192, 2079},
		"few descriptors":   {184, 280, 40},
		"no descriptors":    {184, 100, 1},
		"memory only":       {184, 0, 713},
		"descriptors only":  {0, 4100, 1950},
		"no limits at all":  {0, 0, 0},
		"almost no memory":  {1, 4100, 3},
		"almost everything": {1 << 20, 4100, 1950},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, maxClientConns(c.memoryMB<<20, c.descriptors), c.want)
		})
	}
}

// Guards against a refusal of a head that is no response, or that does not tell when to come back.
func TestRefusalOfAHead(t *testing.T) {
	cases := map[connlimit.Reason]struct {
		status int
		retry  bool
	}{
		connlimit.TooLarge: {http.StatusRequestHeaderFieldsTooLarge, false},
		connlimit.NoMemory: {http.StatusServiceUnavailable, true},
		connlimit.TooMany:  {0, false},
	}

	for reason, c := range cases {
		t.Run(string(reason), func(t *testing.T) {
			text := refusal(reason, 100)
			if c.status == 0 {
				assert.Assert(t, text == nil)
				return
			}

			response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
			assert.NilError(t, err)

			defer func() { _ = response.Body.Close() }()

			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get("Retry-After") != "", c.retry)
			assert.Assert(t, response.Close)
			assert.Assert(t, strings.Contains(string(text), `"ran":"no"`), string(text))
		})
	}
}
