package server_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is read and gets no response, because its head has come in part when the entry stops.
func TestDrainAnswersARequestThatIsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFleet(t, "g1").start()
		time.Sleep(2 * time.Second)

		conn, err := e.dial()
		assert.NilError(t, err)

		e.stop()
		// The entry refuses requests from 2 to 3 s after the signal, and shuts its server down then.
		time.Sleep(2900 * time.Millisecond)

		_, err = io.WriteString(conn, "GET /dates/today HTTP/1.1\r\nHo")
		assert.NilError(t, err)

		time.Sleep(200 * time.Millisecond)

		go func() { _, _ = io.WriteString(conn, "st: entry\r\n\r\n") }()

		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
		assert.NilError(t, <-e.ended)
	})
}
