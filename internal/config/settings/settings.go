// Package settings holds the settings of each process, read from strict YAML.
package settings

import "time"

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Table is the URL of the table service.
	Table string `yaml:"table"`
	// Objects is the URL of the object store.
	Objects string `yaml:"objects"`
	// VMs is the URL of the VM list.
	VMs string `yaml:"vms"`
}

// Place is the location of a process.
type Place struct {
	// VM is the platform's name of the VM.
	VM string `yaml:"vm"`
	// Domain is the failure domain.
	Domain string `yaml:"domain"`
	// Region is the region of the failure domain; may be empty.
	Region string `yaml:"region"`
}

// Operator is a person or program that may call the operator API.
type Operator struct {
	// Name identifies the operator in the audit log; unique among the operators.
	Name string `yaml:"name"`
	// Hash is the SHA-256 of the operator's token, in hex.
	Hash string `yaml:"hash"`
}

// Entry holds the settings of an entry process.
type Entry struct {
	// Place is where the process runs.
	Place Place `yaml:"place"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform"`
	// Listen is the ip:port of the HTTP server for callers, operators and metrics scrapers.
	Listen string `yaml:"listen"`
	// Peer is the ip:port of the drpc server for other processes; it is listed in the VM list.
	Peer string `yaml:"peer"`
	// Operators may call the operator API.
	Operators []Operator `yaml:"operators"`
	// Drain is the maximum time that a graceful shutdown waits for requests in flight; 0 waits without a limit.
	Drain time.Duration `yaml:"drain"`
	// Log is the log level.
	Log string `yaml:"log"`
}

// Agent holds the settings of an agent process.
type Agent struct {
	// Place is where the process runs.
	Place Place `yaml:"place"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform"`
	// Server is the name of the backend server.
	Server string `yaml:"server"`
	// Listen is the ip:port of the drpc server; it is listed in the VM list.
	Listen string `yaml:"listen"`
	// Metrics is the ip:port of the HTTP server for /healthz, /readyz and /metrics.
	Metrics string `yaml:"metrics"`
	// Engine is the URL of the model engine; exactly one of Engine and Service is set.
	Engine string `yaml:"engine"`
	// Service is the URL of the plain service.
	Service string `yaml:"service"`
	// Name is the name of the plain service; set with Service.
	Name string `yaml:"name"`
	// Drain is the maximum time that a graceful shutdown waits for requests in flight; 0 waits without a limit.
	Drain time.Duration `yaml:"drain"`
	// Log is the log level.
	Log string `yaml:"log"`
}
