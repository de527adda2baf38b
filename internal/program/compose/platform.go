// Package compose builds entry and agent processes from their parts.
package compose

import (
	"github.com/chestnutbeam/chestnutbeam/internal/limit/terms"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/object"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// Platform is what the platform offers to a process.
type Platform struct {
	Table   table.Table
	Objects object.Store
	VMs     vms.Lister
}

// loadAccount is the reserved account whose tokens are loads from the weight store.
const loadAccount = terms.WeightStoreAccount
