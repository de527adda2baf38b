//go:build review

// Package lab starts the programs of this project as separate processes on loopback addresses, beside the project's stand-in of the store and
// servers that the cases bring themselves. It belongs to the cases of the second review and stays out of the default build.
package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutbeam/chestnutbeam/platform/standin"
)

// The ports are those of a day on the platform; they are the same at each address.
const (
	AgentPort  = 7600
	ServerPort = 8000
	ClientPort = 8221
	ReadyPort  = 8224

	metricsPort = 7614

	// Host is the host of all routes, and Key a key of the only tenant.
	Host = "site.example"
	Key  = "key-1"

	storePort   = 8283
	entryNumber = 200
	agentNumber = 10
	plainNumber = 50
	readyWait   = 15 * time.Second
	readyPoll   = 50 * time.Millisecond
)

// Cluster holds the stand-in of the store and the processes of one case. Each entry calls the store at an address of its own, under its name.
type Cluster struct {
	Store *Store
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	// Rate and Burst are the allotment of the tenant in tokens, 0 for none, and PlainTokens is the cost of a request that states no count.
	Rate, Burst, PlainTokens int

	directory string
	subnet    string
	release   func()
	record    *os.File

	mu        sync.Mutex
	began     time.Time
	processes []*Process
}

// Process is an operating system process that can be signalled and started again.
type Process struct {
	Name    string
	cluster *Cluster
	args    []string
	env     []string
	command *exec.Cmd
	exited  chan struct{}
}

// New returns a cluster with an empty store. The record is written to record.txt in the given folder.
func New(folder string) (*Cluster, error) {
	subnet, release, err := standin.ReserveSubnet()
	if err != nil {
		return nil, err
	}

	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}

	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}

	c := &Cluster{
		Store: newStore(), Trouble: os.Getenv("TROUBLE") != "0",
		directory: directory, subnet: subnet, release: release, record: record, began: time.Now(),
	}

	return c, nil
}

// Serve serves a stand-in within this process.
func (c *Cluster) Serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	go func() { _ = http.Serve(listener, handler) }()

	return nil
}

// Record writes a line with the time since the start to the record.
func (c *Cluster) Record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()

	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns a time as the record shows it.
func (c *Cluster) Since(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(c.began).Seconds())
}

// Close ends all processes that were started and removes the temporary folder.
func (c *Cluster) Close() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()

	for _, p := range processes {
		p.Signal(syscall.SIGKILL)
		p.Wait(time.Second)
	}

	c.release()
	_ = os.RemoveAll(c.directory)
	_ = c.record.Close()
}

// Address returns an address of the cluster.
func (c *Cluster) Address(number, port int) string {
	return net.JoinHostPort(c.subnet+"."+strconv.Itoa(number), strconv.Itoa(port))
}

// Entry returns the address at which an entry serves clients.
func (c *Cluster) Entry(index int) string {
	return c.Address(entryNumber+index, ClientPort)
}

// Plain returns the address of a server of the plain service, and Model that of a model server.
func (c *Cluster) Plain(index int) string { return c.Address(plainNumber+index, ServerPort) }

// Model returns the address of a model server.
func (c *Cluster) Model(index int) string { return c.Address(agentNumber+index, ServerPort) }

// StartEntry starts an entry and waits until it is ready.
func (c *Cluster) StartEntry(index int) (*Process, error) {
	number := entryNumber + index

	p, err := c.startProgram("entry", number)
	if err != nil {
		return nil, err
	}

	return p, c.AwaitReady(index)
}

// AwaitReady waits until an entry says that it is ready.
func (c *Cluster) AwaitReady(index int) error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(readyPoll) {
		response, err := http.Get("http://" + c.Address(entryNumber+index, ReadyPort) + "/ready")
		if err != nil {
			continue
		}

		_ = response.Body.Close()

		if response.StatusCode == http.StatusOK {
			return nil
		}
	}

	return fmt.Errorf("entry %d is not ready", index)
}

// IsReader reports whether an entry watches the store for the others, by its metrics.
func (c *Cluster) IsReader(index int) bool {
	response, err := http.Get("http://" + c.Address(entryNumber+index, metricsPort) + "/metrics")
	if err != nil {
		return false
	}

	defer func() { _ = response.Body.Close() }()

	text, err := io.ReadAll(response.Body)

	return err == nil && strings.Contains(string(text), "\nchestnutbeam_store_reader 1\n")
}

// StartAgent starts the agent beside a model server.
func (c *Cluster) StartAgent(index int) (*Process, error) {
	return c.startProgram("agent", agentNumber+index)
}

// startProgram starts a program with the command of the deploy file, and with settings like those of the smallest deployment.
func (c *Cluster) startProgram(role string, number int) (*Process, error) {
	ip := c.subnet + "." + strconv.Itoa(number)
	name := role + "-" + strconv.Itoa(number)

	// The address of a machine's own path to the store.
	store := c.Address(number, storePort)
	if err := c.Serve(store, c.Store.serve(name)); err != nil {
		return nil, err
	}

	settings := map[string]any{
		"nodeName": name, "role": role, "ip": ip, "zone": "z1", "region": "r1", "zones": map[string]any{"z1": "r1"},
		"listen":        map[string]any{"front": c.Address(number, ClientPort), "ready": c.Address(number, ReadyPort)},
		"internalPorts": []int{AgentPort, AgentPort + 15}, "bootstrap": false, "discovery": "platform", "entry": "vip", "beatIntervalMs": 1200,
		"app":      c.Address(number, ServerPort),
		"limits":   map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
		"platform": map[string]any{"address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000},
		"bounds": map[string]any{
			"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "strictRevoke": true, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtra": 56, "coldOverage": 1.5, "coldSlack": 5, "leaseMs": 3000, "thawSlackMs": 300, "version_ms": 5000,
		},
	}

	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}

	path := filepath.Join(c.directory, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}

	return c.Start(name, []string{"target/chestnutbeam", "hosted", role}, "CHESTNUTBEAM_SETTINGS="+path)
}

// Start starts a process of any program.
func (c *Cluster) Start(name string, args []string, env ...string) (*Process, error) {
	p := &Process{Name: name, cluster: c, args: args, env: env}

	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()

	return p, p.Restart()
}

// Restart starts the process again after it has ended.
func (p *Process) Restart() error {
	log, err := os.OpenFile(filepath.Join(p.cluster.directory, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer func() { _ = log.Close() }()

	command := exec.CommandContext(context.Background(), p.args[0], p.args[1:]...)
	command.Env = append(os.Environ(), p.env...)
	command.Stdout, command.Stderr = log, log

	if err := command.Start(); err != nil {
		return err
	}

	exited := make(chan struct{})
	p.command, p.exited = command, exited

	go func() {
		_ = command.Wait()
		close(exited)
	}()

	p.cluster.Record("start %s", p.Name)

	return nil
}

// Signal sends a signal to the process, which this case has started.
func (p *Process) Signal(signal syscall.Signal) {
	if p.command == nil {
		return
	}

	select {
	case <-p.exited:
	default:
		p.cluster.Record("%s to %s", signal, p.Name)
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait(time.Second)
}

// Wait waits for the end of the process, for a while.
func (p *Process) Wait(limit time.Duration) {
	select {
	case <-p.exited:
	case <-time.After(limit):
	}
}

// Log returns what the process has written.
func (p *Process) Log() string {
	text, _ := os.ReadFile(filepath.Join(p.cluster.directory, p.Name+".log"))

	return string(text)
}
