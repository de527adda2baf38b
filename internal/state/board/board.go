package board

import (
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
)

// Board is the shared state of one entry or agent process. Each cell has one writing controller, named at the cell.
type Board struct {
	// Document is the newest fleet document; nil until the first is known. Written by config/follow.
	Document Cell[*document.Document]
	// Confirmation is the last confirmation of the document. Written by config/follow.
	Confirmation Cell[Confirmation]
	// PendingRevocations maps key ids to revocations that the table has not yet accepted. Written by config/follow.
	PendingRevocations Cell[map[string]Revocation]
	// VMs is the platform's last list. Written by fleet/member.
	VMs Cell[vms.List]
	// Peers maps drpc addresses of entries to what is known from contact with them. Written by config/follow.
	Peers Cell[map[string]Peer]
	// Shares maps client accounts to their share assignments. Written by limit/assign.
	Shares Cell[map[string]Assignment]
	// Draining is set once a graceful shutdown has begun. Written by the process's server package.
	Draining Cell[bool]
}

// MaxConfirmationAge is the age of the last confirmation beyond which a process refuses keyed work.
const MaxConfirmationAge = 5 * time.Second

// Confirmation says when the document was last confirmed to be current, on this process's clock.
type Confirmation struct {
	// Version is the version that was confirmed.
	Version int64
	// AsOf is the moment to which the confirmation reaches back; zero if there was none.
	AsOf time.Time
}

// Revocation is a revoked key that the table has not yet accepted.
type Revocation struct {
	Key    string
	Author string
	Reason string
	Time   time.Time
	// Change is the id under which it will be committed.
	Change string
}

// Peer is what is known of another entry from contact with it.
type Peer struct {
	// Name is the VM name of the entry.
	Name   string
	Boot   string
	Domain string
	// Version is the document version that the peer reported.
	Version int64
	// LastContact is the time of the last answer.
	LastContact time.Time
}

// Assignment is the table row limit/<account>: which entries hold which share of the account's tokens.
type Assignment struct {
	Account string `json:"account"`
	// Epoch grows by 1 with each change of the row.
	Epoch   int64    `json:"epoch"`
	Holders []Holder `json:"holders"`
}

// Holder is one entry process that holds a share.
type Holder struct {
	// VM is the platform's name of the VM.
	VM string `json:"vm"`
	// Address is the drpc address of the entry.
	Address string `json:"address"`
	// Boot is the boot id of the process; another process at the address is not this holder.
	Boot   string `json:"boot"`
	Domain string `json:"domain"`
	// Share is in millionths; the shares of an assignment add up to at most one million.
	Share int64 `json:"share"`
	// Since is the epoch at which this process became a holder.
	Since int64 `json:"since"`
	// Full says that the share starts full; set only by the first assignment of an account.
	Full bool `json:"full,omitempty"`
	// Listed is the sequence of a VM list that has the VM. Only a later list without it shows that the VM is gone; an
	// earlier one may not have had it yet.
	Listed int64 `json:"listed"`
}
