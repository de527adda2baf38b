//go:build review

// Command 6 has the store away for a moment, in which the rows of servers expire, while one entry stays cut off from it for longer. Afterwards a
// server leaves as planned.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/platform/standin"
	lab "github.com/chestnutbeam/chestnutbeam/review/lab-2"
)

const (
	// cutTime is how long one entry is cut off from the store, and outage how long the store is away.
	cutTime, outage = 12 * time.Second, 4500 * time.Millisecond
	// expiry is three heartbeats of a server, after which its row is dropped.
	expiry = 3600 * time.Millisecond
	// calm is the time from the end of the cut to the leave, longer than contactMs.
	calm = 6 * time.Second
	// roleWait bounds the wait for the reader, and rowPeriod is the time between two changes of what the model server holds.
	roleWait, rowPeriod = 30 * time.Second, 2 * time.Second
	// drainBound is drainMs. A leaving server serves on for lingering after the store has confirmed its leave, and then exits.
	drainBound, lingering = 2 * time.Second, 7 * time.Second
	// desks is the number of servers of the plain service, and models that of model servers, each with its agent.
	desks, models = 3, 12
	// work is how long a server works on a booking, and period the time between two bookings at one entry.
	work, period = 300 * time.Millisecond, 100 * time.Millisecond
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

		fmt.Printf("%d %s\n", time.Now().UnixMilli(), attempt)
		time.Sleep(work)
		w.Header().Set("Response-Seal", "seal-"+attempt)
		_, _ = io.WriteString(w, "booked "+attempt)
	})

	listener, err := net.Listen("tcp", address)
	if err != nil {
		os.Exit(2)
	}

	_ = http.Serve(listener, handler)
}

// booking is what a client sent and got.
type booking struct {
	id     string
	entry  int
	sentAt time.Time
	status int
	whole  bool
}

type desk struct {
	cluster *lab.Cluster
	mu      sync.Mutex
	all     []booking
	stop    chan struct{}
	group   sync.WaitGroup
}

// book sends a booking to an entry in each period until the end, each on a channel of its own.
func (d *desk) book(entry int) {
	defer d.group.Done()

	for i := 0; ; i++ {
		select {
		case <-d.stop:
			return
		case <-time.After(period):
		}

		d.group.Add(1)

		go func() {
			defer d.group.Done()
			d.send(booking{id: fmt.Sprintf("e%d-%d", entry, i), entry: entry, sentAt: time.Now()})
		}()
	}
}

func (d *desk) send(b booking) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.cluster.Entry(b.entry)+"/reserve/x", strings.NewReader("one floor for "+b.id))
	if err != nil {
		return
	}

	request.Host, request.Close = lab.Host, true
	request.Header.Set("Attempt-Id", b.id)
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer "+lab.Key)

	response, err := http.DefaultTransport.RoundTrip(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		b.status, b.whole = response.StatusCode, readErr == nil && string(text) == "booked "+b.id
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.all = append(d.all, b)
}

// fleet holds the servers and their rows.
type fleet struct {
	cluster *lab.Cluster
	born    int64
	// adapters changes with what the model servers hold.
	adapters int
}

func (f *fleet) list(index int) {
	f.cluster.PutServer(deskID(index), "desk", f.cluster.Plain(index), f.born)
}

// listModels writes the rows of the model servers, which say what they hold.
func (f *fleet) listModels() {
	f.adapters++

	for i := range models {
		f.cluster.PutModelServer(modelID(i), f.cluster.Model(i), f.born, "a"+strconv.Itoa(f.adapters))
	}
}

// run plays the case and returns the exit code.
func run(folder string) int {
	c, err := lab.New(folder)
	if err != nil {
		fmt.Println(err)
		return 2
	}

	defer c.Close()

	c.PutManifest(3, []string{lab.Key}, lab.Route{Name: "reserve", Kind: "non_idempotent", Service: "desk", MaxAttempts: 1, TimeoutMs: 4000, TargetMs: 300})

	servers, f, err := startServers(c)
	if err != nil {
		fmt.Println(err)
		return 2
	}

	for i := range 2 {
		if _, err := c.StartEntry(i); err != nil {
			fmt.Println(err)
			return 2
		}
	}

	d := &desk{cluster: c, stop: make(chan struct{})}
	d.group.Add(2)

	go d.book(0)
	go d.book(1)

	time.Sleep(4 * time.Second)

	reader := 0
	if c.IsReader(1) {
		reader = 1
	}

	c.Record("entry %d watches the store for the others", reader)

	if c.Trouble {
		disturb(c, f, reader)
	} else {
		time.Sleep(cutTime)
	}

	awaitRole(c, f, reader)

	leaves := leaveInTurn(c, servers)

	close(d.stop)
	d.group.Wait()

	d.record(servers)

	return judge(c, d, leaves, reader)
}

// record writes what was sent, answered and run.
func (d *desk) record(servers []*lab.Process) {
	for i, server := range servers {
		arrived := arrivals(server.Log())

		for _, b := range d.all {
			if at, ran := arrived[b.id]; ran {
				d.cluster.Record("%s ran at %s %.3f s after it was sent", b.id, deskID(i), at.Sub(b.sentAt).Seconds())
			}
		}
	}

	for _, b := range d.all {
		d.cluster.Record("%s sent to entry %d at %s: status %d, whole %v", b.id, b.entry, d.cluster.Since(b.sentAt), b.status, b.whole)
	}
}

// leave is the planned leave of a server.
type leave struct {
	server *lab.Process
	id     string
	// left is when the store confirmed it, and exited when the server exited.
	left, exited time.Time
}

// leaveInTurn has all servers but the last one leave as planned: the row goes, the server serves on for a while, and exits.
func leaveInTurn(c *lab.Cluster, servers []*lab.Process) []leave {
	var leaves []leave

	for i, server := range servers[:desks-1] {
		next := leave{server: server, id: deskID(i)}
		c.Store.Remove("servers", next.id)
		next.left = time.Now()
		c.Record("the store has confirmed that %s leaves", next.id)
		time.Sleep(lingering)
		server.Kill()
		next.exited = time.Now()
		leaves = append(leaves, next)
		time.Sleep(2 * time.Second)
	}

	return leaves
}

func deskID(index int) string {
	return "i-p" + strconv.Itoa(index)
}

// awaitRole waits for calm, and then until the entry that was cut off watches the store for the others again, as before.
func awaitRole(c *lab.Cluster, f *fleet, reader int) {
	for began := time.Now(); time.Since(began) < roleWait; {
		time.Sleep(rowPeriod)
		f.listModels()

		if time.Since(began) > calm && c.IsReader(reader) && !c.IsReader(1-reader) {
			break
		}
	}

	c.Record("entry %d watches the store: %v, entry %d: %v", reader, c.IsReader(reader), 1-reader, c.IsReader(1-reader))
}

func startServers(c *lab.Cluster) ([]*lab.Process, *fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}

	f := &fleet{cluster: c, born: time.Now().UnixMilli()}

	var servers []*lab.Process

	for i := range desks {
		p, err := c.Start("server-"+strconv.Itoa(i), []string{self, "server", c.Plain(i), deskID(i)})
		if err != nil {
			return nil, nil, err
		}

		servers = append(servers, p)
		f.list(i)
	}

	f.listModels()

	for i := range models {
		model := &standin.ModelServer{InstanceID: modelID(i), ModelName: "m0", AdapterSlots: 17, LoadTime: 250 * time.Millisecond, EventInterval: 30 * time.Millisecond, EventCount: 10}
		if err := c.Serve(c.Model(i), model); err != nil {
			return nil, nil, err
		}

		if _, err := c.StartAgent(i); err != nil {
			return nil, nil, err
		}
	}

	return servers, f, nil
}

func modelID(index int) string {
	return "i-m" + strconv.Itoa(index)
}

// disturb has the store away for outage, in which the rows of all servers expire, and one entry cut off from it for cutTime.
func disturb(c *lab.Cluster, f *fleet, reader int) {
	c.Store.Silence("entry-" + strconv.Itoa(200+reader))
	c.Record("entry %d is cut off from the store", reader)
	began := time.Now()

	time.Sleep(time.Second)
	c.Store.Silence("")
	c.Record("the store is away")
	time.Sleep(expiry)

	for i := range models {
		c.Store.Remove("servers", modelID(i))
	}

	for i := range desks {
		c.Store.Remove("servers", deskID(i))
	}

	c.Record("the rows of the servers have expired")
	time.Sleep(outage - expiry)
	c.Store.Restore("")
	c.Record("the store is back")

	// The next heartbeats of the servers.
	for i := range desks {
		time.Sleep(300 * time.Millisecond)
		f.list(i)
	}

	f.listModels()

	time.Sleep(cutTime - time.Since(began))
	c.Store.Restore("entry-" + strconv.Itoa(200+reader))
	c.Record("entry %d reaches the store again", reader)
}

// judge counts the bookings that reached a leaving server too late from the entry that was never cut off.
func judge(c *lab.Cluster, d *desk, leaves []leave, reader int) int {
	before, late, lost := 0, 0, 0

	for _, l := range leaves {
		arrived := arrivals(l.server.Log())

		for _, b := range d.all {
			at, ran := arrived[b.id]
			if !ran {
				continue
			}

			if at.Before(l.left) {
				before++
			}

			if b.entry == reader || !b.sentAt.After(l.left.Add(drainBound)) || !at.After(l.left.Add(drainBound)) {
				continue
			}

			late++
			c.Record("late: %s was sent to entry %d %.3f s after the leave of %s and reached it at %.3f s; status %d, whole %v",
				b.id, b.entry, b.sentAt.Sub(l.left).Seconds(), l.id, at.Sub(l.left).Seconds(), b.status, b.whole)

			if !b.whole {
				lost++
				c.Record("lost: %s ran at %s, which exited %.3f s after its leave", b.id, l.id, l.exited.Sub(l.left).Seconds())
			}
		}
	}

	sent, refused, statuses := 0, 0, map[int]int{}

	for _, b := range d.all {
		if b.entry != reader || !b.sentAt.After(leaves[0].left) {
			statuses[b.status]++
			continue
		}

		sent++

		if b.status == http.StatusServiceUnavailable {
			refused++
		}
	}

	c.Record("%d bookings; status and number without those at entry %d after the first leave: %v", len(d.all), reader, statuses)
	c.Record("entry %d refused %d of %d bookings with 503 after the first leave, while %s was ready and listed", reader, refused, sent, deskID(desks-1))
	c.Record("DRAIN: %d bookings reached a server later than %s after its leave was confirmed, from entry %d; %d of them have no whole answer", late, drainBound, 1-reader, lost)
	fmt.Printf("%d late at leaving servers, %d of them lost; entry %d refused %d of %d\n", late, lost, reader, refused, sent)

	switch {
	case late > 0:
		return 1
	case before == 0:
		return 2
	default:
		return 0
	}
}

// arrivals returns when a server began to run each request, by what it has written.
func arrivals(log string) map[string]time.Time {
	arrived := map[string]time.Time{}

	lines := bufio.NewScanner(strings.NewReader(log))
	for lines.Scan() {
		at, id, _ := strings.Cut(lines.Text(), " ")
		if ms, err := strconv.ParseInt(at, 10, 64); err == nil {
			arrived[id] = time.UnixMilli(ms)
		}
	}

	return arrived
}
