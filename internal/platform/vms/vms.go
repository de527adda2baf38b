// Package vms is the platform's list of live and leaving VMs, as its clients see it.
package vms

import "context"

// Role says which process of the system runs on a VM.
type Role string

// The values of Role.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one listed VM. The list lags behind reality: a VM may be gone and still be listed, or run and not be listed yet.
type VM struct {
	// Name identifies the VM; a replacement has another name.
	Name string `json:"name"`
	// Address is the ip:port on which the system's process on this VM serves drpc.
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	// Role says which process runs there.
	Role Role `json:"role"`
	// Terminating is true if the platform will remove the VM soon.
	Terminating bool `json:"leaving,omitempty"`
	// Server is the name of the backend server beside an agent; empty for entries.
	Server string `json:"server,omitempty"`
	// Serves lists what the backend server offers: "model/<name>" or "service/<name>".
	Serves []string `json:"serves,omitempty"`
}

// List is the platform's list at one moment.
type List struct {
	// Sequence increases with every change of the list.
	Sequence int64 `json:"sequence"`
	VMs      []VM  `json:"vms"`
}

// Lister reads the list.
type Lister interface {
	List(ctx context.Context) (List, error)
}
