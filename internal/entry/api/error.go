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

const headerRetryAfter = "Retry-After"

// ErrorResponse is the body of an error response in the format of the OpenAI API.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error.
type ErrorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// Ran tells whether a backend server has run the request: "no", "yes" or "unknown".
	Ran string `json:"ran"`
}

// NewErrorResponse returns the response body for an error.
func NewErrorResponse(err error) ErrorResponse {
	found := fault.FromError(err)
	answer := found.Kind.Response()

	detail := ErrorDetail{
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

	return ErrorResponse{Error: detail}
}

// handleError sends the error's status and body. Once the response has started it sends nothing, because a stream carries its
// error as an event.
func handleError(err error, c echo.Context) {
	found := fault.FromError(wrapEchoError(err))

	state, ok := c.Get(stateKey).(*requestState)
	if ok {
		state.kind = found.Kind
	}

	if c.Response().Committed {
		return
	}

	if ok {
		state.setWriteDeadline()
	}

	if retryAfter := found.RetryDelay(); retryAfter > 0 {
		c.Response().Header().Set(headerRetryAfter, retrySeconds(retryAfter))
	}

	_ = c.JSON(found.Kind.Response().Status, NewErrorResponse(found))
}

// retrySeconds rounds up, so that callers do not retry too early.
func retrySeconds(retryAfter time.Duration) string {
	return strconv.Itoa(int(math.Ceil(retryAfter.Seconds())))
}

// wrapEchoError gives echo's own errors a kind.
func wrapEchoError(err error) error {
	var httpErr *echo.HTTPError

	if !errors.As(err, &httpErr) {
		return err
	}

	switch httpErr.Code {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return fault.Wrap(err, fault.NotFound, "there is no such route")
	case http.StatusRequestEntityTooLarge:
		return fault.Wrap(err, fault.TooLarge, "the request is too large")
	default:
		return fault.Wrap(err, fault.Internal, "internal error")
	}
}

// errorEvent encodes an error as the last event of a stream.
func errorEvent(err error) []byte {
	body, marshalErr := json.Marshal(NewErrorResponse(err))
	if marshalErr != nil {
		body = []byte(`{}`)
	}

	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}
