//go:build review

// Command 7 cuts off one entry and one model server from the store for some seconds, and compares what a tenant gets afterwards with its allotment.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutbeam/chestnutbeam/platform/standin"
	lab "github.com/chestnutbeam/chestnutbeam/review/lab-2"
)

const (
	// entryCut is how long the entry is cut off from the store, and serverCut how long the model server is.
	entryCut, serverCut = 5500 * time.Millisecond, 5 * time.Second
	// expiry is three heartbeats of a server, after which its row is dropped.
	expiry = 3600 * time.Millisecond
	// calm is the time from the end of the cut to the first bookings that count, longer than contactMs.
	calm = 6 * time.Second
	// demand is how long bookings are sent then, and period the time between two at one entry.
	demand, period = 20 * time.Second, 20 * time.Millisecond

	models = 4
	tenant = "acme"
	// The allotment in tokens, and what each booking costs.
	rate, burst, cost = 10_000, 10_000, 500
	// The rule: quotaWindowS, quotaOverage and quotaSlack.
	window         = 8 * time.Second
	overage, slack = 0.1, 11_000
)

func main() {
	if len(os.Args) > 3 && os.Args[1] == "server" {
		serve(os.Args[2], os.Args[3])
		return
	}

	os.Exit(run(os.Args[1]))
}

// serve is a server of the plain service. It writes a line when it begins to run a request.
func serve(address, id string) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", attempt)

		if r.Header.Get("Expect-Instance") != id {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}

		fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), attempt, r.Header.Get("Tenant"))
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Response-Seal", "seal-"+attempt)
		_, _ = io.WriteString(w, "booked "+attempt)
	})

	listener, err := net.Listen("tcp", address)
	if err != nil {
		os.Exit(2)
	}

	_ = http.Serve(listener, handler)
}

// holderOf returns the index of the model server whose agent holds the bucket of the tenant, as the entries choose it among all.
func holderOf() int {
	best, highest := 0, uint64(0)

	for i := range models {
		if score := xxhash.Sum64String(tenant + "\x00" + modelID(i)); score > highest {
			best, highest = i, score
		}
	}

	return best
}

func modelID(index int) string {
	return "i-m" + strconv.Itoa(index)
}

func run(folder string) int {
	c, err := lab.New(folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}

	defer c.Close()

	c.Rate, c.Burst, c.PlainTokens = rate, burst, cost
	c.PutManifest(3, []string{lab.Key}, lab.Route{Name: "reserve", Kind: "non_idempotent", Service: "desk", MaxAttempts: 1, TimeoutMs: 4000, TargetMs: 300})

	server, err := start(c)
	if err != nil {
		fmt.Println(err)
		return 2
	}

	time.Sleep(2 * time.Second)

	cut, holder := 0, holderOf()

	if c.Trouble {
		c.Store.Silence("entry-200")
		c.Record("entry %d and %s are cut off from the store", cut, modelID(holder))
		time.Sleep(expiry)
		c.Store.Remove("servers", modelID(holder))
		c.Record("the row of %s has expired", modelID(holder))
		time.Sleep(serverCut - expiry)
		list(c, holder)
		time.Sleep(entryCut - serverCut)
		c.Store.Restore("entry-200")
		c.Record("entry %d reaches the store again", cut)
	} else {
		time.Sleep(entryCut)
	}

	time.Sleep(calm)

	d := &desk{cluster: c, status: map[string]map[int]int{}}
	d.sendAll()

	return d.judge(server.Log())
}

// start starts all servers and programs.
func start(c *lab.Cluster) (*lab.Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}

	server, err := c.Start("server", []string{self, "server", c.Plain(0), "i-p0"})
	if err != nil {
		return nil, err
	}

	c.PutServer("i-p0", "desk", c.Plain(0), 1)

	for i := range models {
		model := &standin.ModelServer{InstanceID: modelID(i), ModelName: "m0", AdapterSlots: 17, LoadTime: 250 * time.Millisecond, EventInterval: 30 * time.Millisecond, EventCount: 10}
		if err := c.Serve(c.Model(i), model); err != nil {
			return nil, err
		}

		list(c, i)

		if _, err := c.StartAgent(i); err != nil {
			return nil, err
		}
	}

	for i := range 2 {
		if _, err := c.StartEntry(i); err != nil {
			return nil, err
		}
	}

	return server, nil
}

// list writes the row of a model server. What it holds does not change in this case.
func list(c *lab.Cluster, index int) {
	c.PutModelServer(modelID(index), c.Model(index), 1, "a1")
}

// desk sends the bookings of the tenant.
type desk struct {
	cluster *lab.Cluster
	mu      sync.Mutex
	// status counts the answers by entry and status.
	status map[string]map[int]int
	group  sync.WaitGroup
}

// sendAll sends bookings to both entries for the time of the demand.
func (d *desk) sendAll() {
	for i, end := 0, time.Now().Add(demand); time.Now().Before(end); i++ {
		for entry := range 2 {
			d.group.Add(1)

			go func() {
				defer d.group.Done()
				d.send(entry, fmt.Sprintf("e%d-%d", entry, i))
			}()
		}

		time.Sleep(period)
	}

	d.group.Wait()
}

func (d *desk) send(entry int, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.cluster.Entry(entry)+"/reserve/x", strings.NewReader("one floor for "+id))
	if err != nil {
		return
	}

	request.Host = lab.Host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer "+lab.Key)

	sent, status := time.Now(), 0

	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}

	d.cluster.Record("%s sent to entry %d at %s: status %d", id, entry, d.cluster.Since(sent), status)

	d.mu.Lock()
	defer d.mu.Unlock()

	name := "entry " + strconv.Itoa(entry)
	if d.status[name] == nil {
		d.status[name] = map[int]int{}
	}

	d.status[name][status]++
}

// judge looks for the window with the most tokens at the server.
func (d *desk) judge(log string) int {
	var times []time.Time

	for line := range strings.Lines(log) {
		fields := strings.Fields(line)
		if len(fields) != 3 || fields[2] != tenant {
			continue
		}

		if ms, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
			times = append(times, time.UnixMilli(ms))
			d.cluster.Record("%s ran at %s", fields[1], d.cluster.Since(time.UnixMilli(ms)))
		}
	}

	slices.SortFunc(times, time.Time.Compare)

	most, first := 0, 0

	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}

		most = max(most, (i-first+1)*cost)
	}

	allowed := int((rate*window.Seconds()+burst)*(1+overage) + slack)
	d.cluster.Record("answers by status: %v", d.status)
	d.cluster.Record("QUOTA: %d tokens of %s ran within %s, %d are allowed", most, tenant, window, allowed)
	fmt.Printf("%d tokens within %s, %d allowed; answers %v\n", most, window, allowed, d.status)

	switch {
	case most > allowed:
		return 1
	case most < rate:
		return 2
	default:
		return 0
	}
}
