// Package compose wires the components of entry and agent processes together.
package compose

import (
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// Platform holds the services of the platform that a process uses.
type Platform struct {
	Table   table.Table
	Objects object.Store
	VMs     vms.Lister
}

// loadAccount is the reserved account that limits loads from the weight store; a load takes one token.
const loadAccount = terms.WeightStoreAccount
