package main

import (
	"encoding/json"
	"errors"
	"fmt"
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
)

// Ports of each machine. Every machine has a loopback address of its own.
const (
	storePort   = 8225
	frontPort   = 8221
	readyPort   = 8224
	serverPort  = 8228
	agentPort   = 7600
	metricsPort = 7614
)

// host is the host name of all routes.
const host = "site.example"

// cluster is a small installation: a store, backend servers and the project's programs.
type cluster struct {
	rec    *record
	root   string
	dir    string
	subnet string
	store  *store
	procs  map[string]*proc

	mu sync.Mutex
	// closed is true once the processes are ended; no more are started then.
	closed bool
}

// proc is a process of the project's programs.
type proc struct {
	name     string
	args     []string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newCluster(rec *record) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}

	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	c := &cluster{rec: rec, root: root, dir: dir, procs: map[string]*proc{}}

	for try := range 200 {
		c.subnet = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%100, 1+(os.Getpid()/100+try)%250)
		if c.free() {
			break
		}
	}

	c.store = newStore()

	return c, c.store.start(c.address(1, storePort))
}

// free reports whether nobody listens at the first addresses of the subnet.
func (c *cluster) free() bool {
	for _, number := range []int{1, 10, 11, 100, 101} {
		for _, port := range []int{storePort, frontPort, agentPort, metricsPort} {
			listener, err := net.Listen("tcp", c.address(number, port))
			if err != nil {
				return false
			}

			_ = listener.Close()
		}
	}

	return true
}

func (c *cluster) ip(number int) string {
	return c.subnet + "." + strconv.Itoa(number)
}

func (c *cluster) address(number, port int) string {
	return net.JoinHostPort(c.ip(number), strconv.Itoa(port))
}

// command returns the words of the line `run` of a role in the deploy file.
func (c *cluster) command(role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(c.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}

	inside := false

	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inside = line == "[roles."+role+"]"
		}

		if value, ok := strings.CutPrefix(line, "run = "); ok && inside {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}

	return nil, fmt.Errorf("no role %s in the deploy file", role)
}

// startEntry starts the program for clients on a machine, and startAgent the one beside a model server.
func (c *cluster) startEntry(number int) error {
	return c.startProgram("entry", number, map[string]any{
		"machineClass": "front", "serves": []string{"front"},
		"listen": map[string]any{"front": c.address(number, frontPort), "ready": c.address(number, readyPort)},
		"limits": map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0},
	})
}

func (c *cluster) startAgent(number int) error {
	return c.startProgram("agent", number, map[string]any{
		"machineClass": "side", "serves": []string{"side"}, "listen": map[string]any{},
		"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 216, "maxFds": 4096, "linkMbps": 2000, "diskMb": 0},
		"app":    c.address(number, serverPort), "service": "asistente",
	})
}

func (c *cluster) startProgram(role string, number int, own map[string]any) error {
	name := role + "-" + strconv.Itoa(number)
	settings := map[string]any{
		"nodeName": name, "role": role, "ip": c.ip(number), "zone": "occ-a", "region": "occidente",
		"zones": map[string]any{"occ-a": "occidente"}, "internalPorts": []int{7600, 7615}, "seeds": []string{},
		"bootstrap": true, "lossCounts": false, "dataDir": nil, "discovery": "platform", "entry": "vip", "beatIntervalMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "places", "platform"},
		"tolerate":  map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtra": 56, "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 11000, "coldOverage": 1.5,
			"coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "requireFence": false, "leaseMs": 3000,
			"thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000,
		},
		"platform": map[string]any{
			"address": c.address(1, storePort), "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionMs": 5.0,
			"partWritesPerS": 200, "rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0,
		},
	}

	for key, value := range own {
		settings[key] = value
	}

	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}

	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}

	args, err := c.command(role)
	if err != nil {
		return err
	}

	p := &proc{name: name, args: args, settings: path}

	c.mu.Lock()
	c.procs[name] = p
	c.mu.Unlock()

	return c.launch(p)
}

// launch starts the process of a program; its output goes to a file of the temporary folder.
func (c *cluster) launch(p *proc) error {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer log.Close()

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return errors.New("the case has ended")
	}

	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Dir = c.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTBEAM_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log

	if err := p.cmd.Start(); err != nil {
		return err
	}

	p.done = make(chan struct{})

	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)

	c.rec.add("process %s started", p.name)

	return nil
}

// stop sends a signal to a process and waits until it has ended.
func (c *cluster) stop(p *proc, signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal)
	c.rec.add("process %s gets %s", p.name, signal)
	<-p.done
	c.rec.add("process %s has ended", p.name)
}

// close ends all processes. With a variable KEEP, the folder with their output stays.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.closed = true

	for _, p := range c.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("output of the processes:", c.dir)
	}
}

// awaitReady waits until an entry says that it is ready.
func (c *cluster) awaitReady(number int) error {
	client := &http.Client{Timeout: time.Second}

	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + c.address(number, readyPort) + "/ready")
		if err != nil {
			continue
		}

		_ = response.Body.Close()

		if response.StatusCode == http.StatusOK {
			c.rec.add("entry-%d is ready", number)
			return nil
		}
	}

	return fmt.Errorf("entry %d is not ready", number)
}

// manifest returns a manifest of the kind of the site pistas-jal.
func manifest(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": priority, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming",
			"resumable": resumable, "gapTargetMs": 300,
		}
	}

	tenants := []any{}
	for i, key := range keys {
		tenants = append(tenants, map[string]any{
			"name": "tenant-" + strconv.Itoa(i), "apiKeys": strings.Split(key, " "), "unit": "token_count", "plainTokens": 200,
			"ratePerS": 200000, "burst": 400000,
		})
	}

	return map[string]any{
		"version": version,
		"routes": []any{
			route("quote-large", "/quote/", "streaming", "asistente", 15000, 800, 1, 2, true),
			route("permit-brief", "/permit/", "streaming", "asistente", 30000, 1000, 1, 1, false),
			route("reserve", "/reserve/", "non_idempotent", "reservas", 1000, 100, 2, 1, false),
			route("avail", "/avail/", "idempotent", "reservas", 1000, 100, 2, 2, false),
		},
		"services": []any{
			map[string]any{"name": "asistente", "healthPath": "/healthz", "coldPerS": 12, "engine": map[string]any{
				"slots": 64, "kvCapacity": 113076, "weightsMb": 75300, "maxAdapters": 17,
				"models": []any{map[string]any{"name": "m0", "weightsMb": 72700, "loadTimeS": 6, "adapters": 3000, "adapterSizeMb": 66}},
			}},
			map[string]any{"name": "reservas", "healthPath": "/healthz"},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": tenants,
	}
}
