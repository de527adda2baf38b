package framing

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// The statuses of final responses are from minFinalStatus up to maxStatus.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// ErrNoResponse is returned for bytes that look like a response and are none: the version is not that of HTTP/1, or the status is not
// that of a final response.
var ErrNoResponse = errors.New("invalid status line")

// CheckFinal returns ErrNoResponse unless a response that was read over HTTP/1 can be the final one to a request. All statuses above 599
// and below 100 are invalid (RFC 9110, section 15), and the others below 200 end no request that asks for no other protocol.
func CheckFinal(response *http.Response) error {
	if response.ProtoMajor != 1 || response.StatusCode < minFinalStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrNoResponse, "%s %03d", response.Proto, response.StatusCode)
	}

	return nil
}

// IsInterim reports whether a final response follows this one.
func IsInterim(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.StatusCode >= http.StatusContinue && response.StatusCode < minFinalStatus &&
		response.StatusCode != http.StatusSwitchingProtocols
}
