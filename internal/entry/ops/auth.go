package ops

import (
	"crypto/subtle"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/auth/keys"
	"github.com/chestnutbeam/chestnutbeam/internal/config/store"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/api"
)

const (
	operatorContextKey = "operator"
	// maxBodyBytes is the maximum size of a request body; a change of the maximum size fits in it.
	maxBodyBytes = 2 << 20
)

// authenticate looks up the operator by the hash of the bearer token.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return fault.New(fault.KeyMissing, "the operator API needs a bearer token")
		}

		hash := keys.Hash(token)

		for _, operator := range a.Operators {
			if subtle.ConstantTimeCompare([]byte(hash), []byte(operator.Hash)) == 1 {
				c.Set(operatorContextKey, operator.Name)
				return next(c)
			}
		}

		return fault.New(fault.Forbidden, "the operator token is unknown")
	}
}

// operatorName returns the name of the authenticated operator.
func operatorName(c echo.Context) string {
	name, _ := c.Get(operatorContextKey).(string)
	return name
}

// handleErrors sends the error response for an error of a handler.
func (a *API) handleErrors(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err == nil {
			return nil
		}

		var (
			found    = fault.FromError(err)
			answer   = found.Kind.Response()
			conflict *store.ConflictError
		)

		body := api.ErrorResponse{Error: api.ErrorDetail{
			Message: errorMessage(found), Type: answer.Type, Code: string(found.Kind), Param: found.Param, Ran: string(answer.Ran),
		}}

		if errors.As(err, &conflict) {
			body.Error.Message = conflict.Error()
			body.Changes = conflict.Changes
		}

		if retry := found.RetryDelay(); retry > 0 {
			c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
		}

		logrus.WithFields(logrus.Fields{"component": "ops", "kind": found.Kind, "path": c.Path()}).WithError(err).Warn("operator request failed")

		return c.JSON(answer.Status, body)
	}
}

// errorMessage returns the message with its cause, which operators need in order to act.
func errorMessage(found *fault.Error) string {
	if found.Cause == nil {
		return found.Message
	}

	return found.Message + ": " + found.Cause.Error()
}

// bind decodes a JSON body; unknown fields are an error.
func bind(c echo.Context, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(target); err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "the request body could not be decoded")
	}

	return nil
}
