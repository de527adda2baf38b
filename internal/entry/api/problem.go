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
	// Ran says whether a backend server has run the request: "no", "yes" or "unknown".
	Ran string `json:"ran"`
}

// NewErrorResponse returns the response body for an error.
func NewErrorResponse(err error) ErrorResponse {
	found := fault.Of(err)
	answer := found.Kind.Answer()

	detail := ErrorDetail{
		Message: found.Message,
		Type:    answer.Type,
		Code:    string(found.Kind),
		Ran:     string(answer.Ran),
	}

	if detail.Message == "" {
		detail.Message = answer.Text
	}

	if found.Param != "" {
		detail.Param = &found.Param
	}

	return ErrorResponse{Error: detail}
}

// handleError answers with the error's status and body. Once a response has begun it does nothing: a stream carries its
// error as an event.
func handleError(err error, c echo.Context) {
	found := fault.Of(translate(err))

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

	if after := found.Retry(); after > 0 {
		c.Response().Header().Set(headerRetry, retrySeconds(after))
	}

	_ = c.JSON(found.Kind.Answer().Status, NewErrorResponse(found))
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
	body, failed := json.Marshal(NewErrorResponse(err))
	if failed != nil {
		body = []byte(`{}`)
	}

	return append(append([]byte("event: error\ndata: "), body...), "\n\n"...)
}
