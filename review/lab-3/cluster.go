//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutbeam/chestnutbeam/platform/standin"
)

const (
	storePort  = 8225
	serverPort = 8228
	clientPort = 8221
	readyPort  = 8224
	agentPort  = 7600
	// entryNumber, modelNumber and plainNumber are the last parts of the addresses of the first VM of each kind.
	entryNumber = 100
	modelNumber = 10
	plainNumber = 50
	hostName    = "ficu95.example"
	apiKey      = "i9n73hh2b9wu3fexd9dn"
	// beatInterval is the time between two writes of the row of a server.
	beatInterval = 1200 * time.Millisecond
)

// zones are the failure domains of the deployment.
var zones = []string{"occ-a", "occ-b", "occ-c"}

// cluster is a small deployment on loopback addresses: the programs of the project as processes, and stand-ins in this process.
type cluster struct {
	record *record
	subnet string
	folder string
	store  *standin.Store

	mu        sync.Mutex
	processes map[string]*process
	bootstrap bool
	// coldDesk is true if the manifest states for the desk, too, how many requests a cold server takes.
	coldDesk bool
	models   []*modelServer
	plains   []*plainServer
	closers  []func()
	ctx      context.Context
	cancel   context.CancelFunc
}

// process is a program of the project that runs as a process of its own.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func newCluster(rec *record) (*cluster, error) {
	subnet, release, err := standin.ReserveSubnet()
	if err != nil {
		return nil, err
	}

	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		release()
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		record: rec, subnet: subnet, folder: folder, store: standin.NewStore(), processes: map[string]*process{}, bootstrap: true, ctx: ctx, cancel: cancel,
	}
	c.closers = append(c.closers, release)

	if os.Getenv("KEEP") == "" {
		c.closers = append(c.closers, func() { _ = os.RemoveAll(folder) })
	}

	_, err = c.serve(c.address(1, storePort), c.store)

	return c, err
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	c.cancel()

	c.mu.Lock()
	running := make([]*process, 0, len(c.processes))
	for _, p := range c.processes {
		running = append(running, p)
	}
	c.mu.Unlock()

	for _, p := range running {
		p.kill()
	}

	for _, end := range slices.Backward(c.closers) {
		end()
	}
}

func (c *cluster) ip(number int) string {
	return c.subnet + "." + strconv.Itoa(number)
}

func (c *cluster) address(number, port int) string {
	return net.JoinHostPort(c.ip(number), strconv.Itoa(port))
}

// serve serves a handler at an address until the cluster is closed, or the returned function is called.
func (c *cluster) serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}

	server := &http.Server{Handler: handler}

	go func() { _ = server.Serve(listener) }()

	stop = func() { _ = server.Close() }

	c.mu.Lock()
	c.closers = append(c.closers, stop)
	c.mu.Unlock()

	return stop, nil
}

// bounds are those of the settings file that DEPLOY.md shows.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": true, "revokeMs": 5000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "budgetExtra": 56, "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 11000, "coldOverage": 1.5, "coldSlack": 5,
		"evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0, "requireFence": false, "leaseMs": 3000, "thawSlackMs": 300,
		"ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000,
	}
}

// settings returns the settings file of a VM, as DEPLOY.md shows it.
func (c *cluster) settings(number int, role, zone string) map[string]any {
	class, memory, fds, share := "front", 284, 4100, 0.304
	if role == "agent" {
		class, memory, fds, share = "side", 216, 4096, 0.32
	}

	settings := map[string]any{
		"nodeName": fmt.Sprintf("%s-%s-%d", class, zone, number), "role": role, "machineClass": class, "serves": []string{class}, "ip": c.ip(number),
		"zone": zone, "region": "occidente", "zones": map[string]string{"occ-a": "occidente", "occ-b": "occidente", "occ-c": "occidente"},
		"listen": map[string]any{}, "internalPorts": []int{agentPort, 7615}, "seeds": []string{}, "bootstrap": c.bootstrap, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": share, "cores": 1, "memoryMb": memory, "maxFds": fds, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "beatIntervalMs": beatInterval.Milliseconds(),
		"contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "places", "platform",
		},
		"tolerate": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds(),
		"platform": map[string]any{
			"address": c.address(1, storePort), "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionMs": 5.0, "partWritesPerS": 200,
			"rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbPerS": 80.0,
		},
	}

	if role == "entry" {
		settings["listen"] = map[string]string{"front": c.address(number, clientPort), "ready": c.address(number, readyPort)}
	} else {
		settings["app"], settings["service"] = c.address(number, serverPort), "asistente"
	}

	return settings
}

// start starts a program with the command of the deploy file.
func (c *cluster) start(number int, role, zone string) error {
	data, err := json.Marshal(c.settings(number, role, zone))
	if err != nil {
		return err
	}

	name := fmt.Sprintf("%s-%d", role, number)
	path := filepath.Join(c.folder, name+".json")

	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}

	output, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	command := exec.Command("target/chestnutbeam", "hosted", role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "CHESTNUTBEAM_SETTINGS=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := command.Start(); err != nil {
		return err
	}

	p := &process{name: name, command: command, ended: make(chan struct{})}

	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(p.ended)
	}()

	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	c.record.add("program", "%s started", name)

	return nil
}

// kill ends the process without notice.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

func (c *cluster) process(role string, number int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.processes[fmt.Sprintf("%s-%d", role, number)]
}

// zoneOf returns the zone of the VM with an index.
func zoneOf(index int) string {
	return zones[index%len(zones)]
}

// startEntries starts a number of entries.
func (c *cluster) startEntries(count int) error {
	for i := range count {
		if err := c.start(entryNumber+i, "entry", zoneOf(i)); err != nil {
			return err
		}
	}

	return nil
}

// awaitReady waits until entries say that they are ready.
func (c *cluster) awaitReady(count int, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0

		for i := range count {
			if c.isReady(entryNumber + i) {
				ready++
			}
		}

		if ready == count {
			return nil
		}

		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entries are ready after %s", ready, count, limit)
		}
	}
}

func (c *cluster) isReady(number int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Get("http://" + c.address(number, readyPort) + "/ready")
	if err != nil {
		return false
	}

	_ = response.Body.Close()

	return response.StatusCode == http.StatusOK
}

// route is a route of the manifest.
type route struct {
	prefix, kind, service string
	targetMs, timeoutMs   int
	attempts              int
	resumable             bool
}

// putConfig writes the manifest, and returns when the store has confirmed it.
func (c *cluster) putConfig(version int, routes ...route) time.Time {
	list := make([]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": "r-" + r.prefix, "host": hostName, "prefix": "/" + r.prefix + "/", "kind": r.kind, "timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs,
			"priority": 1, "service": r.service, "maxAttempts": r.attempts, "public": false, "sticky": r.service == "asistente", "resumable": r.resumable,
			"gapTargetMs": 300,
		})
	}

	c.store.Put("op", "config", map[string]any{
		"version": version, "routes": list,
		"services": []any{
			map[string]any{
				"name": "asistente", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 12.0,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 113076, "kvTokenBytes": 163840, "linkMbps": 370000.0, "upperLimit": 12, "hostMemMb": 150000.0, "diskMb": 450000.0,
					"models": []any{map[string]any{
						"name": modelName, "weightsMb": 72700.0, "loadTimeS": 6.0, "adapters": 3000, "adapterSizeMb": 66.0, "warmS": 1.2, "diskS": 2.4,
					}},
					"weightsMb": 75300.0, "maxAdapters": 17, "loadsPerS": 4.2,
				},
			},
			c.deskService(),
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 0, "burst": 0,
		}},
	})

	at := time.Now()
	c.record.add("operator", "manifest %d confirmed", version)

	return at
}

// deskService returns the service without an engine, as the manifest has it.
func (c *cluster) deskService() map[string]any {
	service := map[string]any{"name": "reservas", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}
	if c.coldDesk {
		service["coldS"], service["coldPerS"] = coldTime.Seconds(), coldPerS
	}

	return service
}

// beat writes the row of a server at its start and then periodically while it is listed.
func (c *cluster) beat(id string, row func() (map[string]any, bool)) {
	for {
		if value, listed := row(); listed {
			c.store.Put("servers", id, value)
		}

		select {
		case <-c.ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// record is the list of what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Duration
	text string
}

func newRecord() *record {
	return &record{start: time.Now()}
}

func (r *record) add(who, format string, args ...any) {
	r.addAt(time.Now(), who, format, args...)
}

func (r *record) addAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lines = append(r.lines, recordLine{at: at.Sub(r.start), text: who + ": " + fmt.Sprintf(format, args...)})
}

// write writes the record in the order of time.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	slices.SortStableFunc(r.lines, func(a, b recordLine) int { return int(a.at - b.at) })

	file, err := os.Create(path)
	if err != nil {
		return err
	}

	for _, line := range r.lines {
		_, err = fmt.Fprintf(file, "%9.3f %s\n", line.at.Seconds(), line.text)
	}

	return errors.Join(err, file.Close())
}
