// Package vms is the client interface of the platform's list of running and terminating VMs.
package vms

import "context"

// Role is the kind of process that runs on a VM.
type Role string

// The values of Role.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is a listed VM. The list is eventually consistent: a VM may still be listed after it was removed, or run before it is
// listed.
type VM struct {
	// Name identifies the VM; a replacement has another name.
	Name string `json:"name"`
	// Address is the ip:port at which the entry or agent on this VM serves drpc.
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region is the region of the failure domain.
	Region string `json:"region,omitempty"`
	// Role is the kind of process that runs on the VM.
	Role Role `json:"role"`
	// Terminating is true if the platform will remove the VM soon.
	Terminating bool `json:"leaving,omitempty"`
	// Server is the name of the agent's backend server; empty for entries.
	Server string `json:"server,omitempty"`
	// Serves lists the capabilities of the backend server: "model/<name>" or "service/<name>".
	Serves []string `json:"serves,omitempty"`
}

// List is a snapshot of the platform's VM list.
type List struct {
	// Sequence increases with every change of the list.
	Sequence int64 `json:"sequence"`
	VMs      []VM  `json:"vms"`
}

// Lister reads the VM list.
type Lister interface {
	List(ctx context.Context) (List, error)
}
