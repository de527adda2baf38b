package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

const (
	// requestKey separates the digests of requests from those of other uses.
	requestKey = "chestnutbeam request"
	// digestBytes is the length of a digest.
	digestBytes = 16
)

// RequestDigest returns a digest by which a request is known again when its client account sends it once more, at any entry and under
// another id: of method, host, target, account and body. The model is not part of it: a request that comes again is the same
// whichever adapter it names.
func RequestDigest(request *message.Request, account string) string {
	mac := hmac.New(sha256.New, []byte(requestKey))

	for _, field := range []string{request.Method, request.Host, request.Target, account} {
		// The length keeps two fields apart whose texts are joined otherwise.
		_ = binary.Write(mac, binary.BigEndian, int64(len(field)))
		_, _ = mac.Write([]byte(field))
	}

	_, _ = mac.Write(request.Body)

	return hex.EncodeToString(mac.Sum(nil)[:digestBytes])
}
