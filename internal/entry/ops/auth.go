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
	operatorKey = "operator"
	// bodyLimit admits a change of the largest size, in bytes.
	bodyLimit = 2 << 20
)

// authenticate finds the operator of the bearer token.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !ok {
			return fault.New(fault.KeyMissing, "the operator API needs a bearer token")
		}

		hash := keys.Hash(token)

		for _, operator := range a.Operators {
			if subtle.ConstantTimeCompare([]byte(hash), []byte(operator.Hash)) == 1 {
				c.Set(operatorKey, operator.Name)
				return next(c)
			}
		}

		return fault.New(fault.Forbidden, "the operator token is not known")
	}
}

func operator(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}

// errors turns an error into its answer.
func (a *API) errors(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if err == nil {
			return nil
		}

		var (
			found    = fault.Of(err)
			answer   = found.Kind.Answer()
			conflict *store.ConflictError
		)

		body := api.ErrorResponse{Error: api.ErrorDetail{
			Message: message(found), Type: answer.Type, Code: string(found.Kind), Param: found.Param, Ran: string(answer.Ran),
		}}

		if errors.As(err, &conflict) {
			body.Error.Message = conflict.Error()
			body.Changes = conflict.Changes
		}

		if retry := found.Retry(); retry > 0 {
			c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
		}

		logrus.WithFields(logrus.Fields{"component": "ops", "kind": found.Kind, "path": c.Path()}).WithError(err).Warn("operator call failed")

		return c.JSON(answer.Status, body)
	}
}

// message includes the causes, because operators need them to act.
func message(found *fault.Error) string {
	if found.Cause == nil {
		return found.Message
	}

	return found.Message + ": " + found.Cause.Error()
}

// bind decodes a strict JSON body.
func bind(c echo.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, bodyLimit))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(into); err != nil {
		return fault.Wrap(err, fault.InvalidRequest, "request body")
	}

	return nil
}
