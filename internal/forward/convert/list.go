package convert

import "fmt"

// ListToText returns the digest of a list of servers as it is logged.
func ListToText(digest uint64) string {
	return fmt.Sprintf("%016x", digest)
}
