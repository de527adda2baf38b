// Package ident generates random identifiers.
package ident

import "github.com/google/uuid"

// New returns a random identifier with a prefix that names its type, such as "req" or "boot".
func New(prefix string) string {
	return prefix + "-" + uuid.NewString()
}
