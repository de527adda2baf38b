package fault

import "github.com/cockroachdb/errors"

// maxQuotedBytes is the length of the text of an error above which it is cut.
const maxQuotedBytes = 512

// Bounded returns an error whose text is of bounded length, for one that may quote what another process has sent. An error with a long text
// loses its type.
func Bounded(err error) error {
	if err == nil {
		return nil
	}

	text := err.Error()
	if len(text) <= maxQuotedBytes {
		return err
	}

	return errors.Newf("%s [%d bytes more]", text[:maxQuotedBytes], len(text)-maxQuotedBytes)
}
