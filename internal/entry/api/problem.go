package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

const headerRetry = "Retry-After"

// Problem is the body of an error response, in the OpenAI shape.
type Problem struct {
	Error Detail `json:"error"`
}

// Detail is the error itself.
type Detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// Ran says whether a backend server has run the request: "no", "yes" or "unknown".
	Ran string `json:"ran"`
}

// NewProblem returns the body for an error.
func NewProblem(err error) Problem {
	found := fault.FromError(err)
	answer := found.Kind.Response()

	detail := Detail{
		Message: found.Message,
		Type:    answer.Type,
		Code:    string(found.Kind),
		Ran:     string(answer.Ran),
	}

	if detail.Message == "" {
		detail.Message = answer.Description
	}

	if found.Param != "" {
		detail.Param = &found.Param
	}

	return Problem{Error: detail}
}

// handleError answers with the error's status and body. Once a response has begun it does nothing: a stream carries its
// error as an event.
func handleError(err error, c echo.Context) {
	found := fault.FromError(translate(err))

	state, ok := c.Get(stateKey).(*call)
	if ok {
		state.kind = found.Kind
	}

	if c.Response().Committed {
		return
	}

	if ok {
		state.limitWrite()
	}

	if after := found.RetryDelay(); after > 0 {
		c.Response().Header().Set(headerRetry, retrySeconds(after))
	}

	_ = c.JSON(found.Kind.Response().Status, NewProblem(found))
}

// retrySeconds rounds up, so that a caller never comes back too early.
func retrySeconds(after time.Duration) string {
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// translate gives echo's own errors a kind.
func translate(err error) error {
	var wrong *echo.HTTPError

	if !errors.As(err, &wrong) {
		return err
	}

	switch wrong.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return fault.Wrap(err, fault.NotFound, "there is no such route")
	case http.StatusRequestEntityTooLarge:
		return fault.Wrap(err, fault.TooLarge, "the request is too large")
	default:
		return fault.Wrap(err, fault.Internal, "internal error")
	}
}

// event renders an error as the last event of a stream.
func event(err error) []byte {
	body, failed := json.Marshal(NewProblem(err))
	if failed != nil {
		body = []byte(`{}`)
	}

	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}
