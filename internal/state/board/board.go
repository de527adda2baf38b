package board

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// Board is the shared state of one entry or agent process. Each cell is written by one package, which is named at the cell.
type Board struct {
	// Document is the latest fleet document; nil until the first one is known. Written by config/follow.
	Document Cell[*document.Document]
	// Confirmation is the last confirmation of the document. Written by config/follow.
	Confirmation Cell[Confirmation]
	// PendingRevocations maps key ids to revocations that the table has not yet accepted. Written by config/follow.
	PendingRevocations Cell[map[string]Revocation]
	// VMs is the platform's last VM list. Written by fleet/member.
	VMs Cell[vms.List]
	// Peers maps drpc addresses of entries to their last reported states. Written by config/follow.
	Peers Cell[map[string]Peer]
	// Shares maps client accounts to their share assignments. Written by limit/assign.
	Shares Cell[map[string]Assignment]
	// Draining is set once a graceful shutdown has begun. Written by the process's server package.
	Draining Cell[bool]
}

// MaxConfirmationAge is the age of the last confirmation above which a process refuses requests with a key.
const MaxConfirmationAge = 5 * time.Second

// Confirmation records when the document was last confirmed to be current, by this process's clock.
type Confirmation struct {
	// Version is the version that was confirmed.
	Version int64
	// AsOf is the time at which the document is known to have been current; zero if it has not been confirmed.
	AsOf time.Time
}

// Revocation is a revoked key that the table has not yet accepted.
type Revocation struct {
	// Key is the id of the key.
	Key    string
	Author string
	Reason string
	Time   time.Time
	// Change is the id of the change that commits the revocation.
	Change string
}

// Peer is the last reported state of another entry.
type Peer struct {
	// Name is the VM name of the entry.
	Name string
	// Boot is the boot id of the process.
	Boot   string
	Domain string
	// Version is the document version that the entry reported.
	Version int64
	// LastContact is the time of the last response or request from the entry.
	LastContact time.Time
}

// Assignment is the table row limit/<account>: the entries that hold shares of the account's tokens.
type Assignment struct {
	Account string `json:"account"`
	// Epoch grows by 1 with each change of the row.
	Epoch   int64    `json:"epoch"`
	Holders []Holder `json:"holders"`
}

// Holder is an entry process that holds a share of an account's tokens.
type Holder struct {
	// VM is the platform's name of the VM.
	VM string `json:"vm"`
	// Address is the drpc address of the entry.
	Address string `json:"address"`
	// Boot is the boot id of the process; a process with another boot id at the same address is not this holder.
	Boot   string `json:"boot"`
	Domain string `json:"domain"`
	// Share is in millionths; the shares of an assignment add up to at most one million.
	Share int64 `json:"share"`
	// Since is the epoch at which this process became a holder.
	Since int64 `json:"since"`
	// Full is true if the token bucket of the share starts full; set only in the first assignment of an account.
	Full bool `json:"full,omitempty"`
	// Listed is the sequence of a VM list that contains the VM. Only a later list without the VM shows that it was removed;
	// an earlier list may not have contained it yet.
	Listed int64 `json:"listed"`
}
