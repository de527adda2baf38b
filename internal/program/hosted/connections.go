package hosted

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/connlimit"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

const (
	// connMemoryShare is the part of the memory of the process, as a divisor, that the connections of clients may take without the budget.
	connMemoryShare = 3
	// freeBodyBytes is the size of a body that takes nothing of the budget, which large requests of other clients may fill.
	freeBodyBytes = 16 << 10
	// connBytes is what one connection takes at most without the budget: buffers and stacks, the receive buffer of the kernel, and a head
	// and a body that need no budget.
	connBytes = 24<<10 + connlimit.KernelBytes + connlimit.FreeHeadBytes + freeBodyBytes
	// reservedDescriptors is the number of descriptors that the platform reserves for files.
	reservedDescriptors = 200
	// clientDescriptorShare is the part of the other descriptors, as a divisor, for connections of clients; a request may need one more to
	// a backend server.
	clientDescriptorShare = 2
	// agentDescriptors and agentDescriptorShare give the part of the descriptors that connections of entries to an agent may take. Entries
	// keep up to 32 idle connections to each agent.
	agentDescriptors, agentDescriptorShare = 3, 4
	// probeConns bounds the connections for probes or metrics, and probeMemory the heads on them. The platform opens one a second.
	probeConns  = 32
	probeMemory = 1 << 20
	// probeHeadBytes bounds the head of a probe.
	probeHeadBytes = 16 << 10
	// probeTimeout bounds the time to write the response to a probe.
	probeTimeout = 10 * time.Second
	// headroomDivisor limits what is kept for the message that was begun first to a part of the budget for messages: one in headroomDivisor.
	headroomDivisor = 2
	// refusalLogPeriod is the time between two lines about refused connections of one port for one reason.
	refusalLogPeriod = time.Second
)

// requestMemory returns the budget of what is kept for requests that have not been accepted, and of their bodies.
func (p *process) requestMemory() *memory.Budget {
	return &memory.Budget{Limit: p.settings.MemoryLimit / bodyMemoryShare}
}

// limitClients bounds the connections of clients. Heads take memory of the same budget as bodies.
func (p *process) limitClients(listener net.Listener, handler *platform.Handler, idle func() time.Duration) *connlimit.Listener {
	limited := &connlimit.Listener{
		Listener:    listener,
		MaxConns:    maxClientConns(p.settings.MemoryLimit, p.settings.DescriptorLimit),
		IdleTimeout: idle,
		OnRefuse:    p.reportRefused("clients"),
	}

	limited.NewLimit = func() connlimit.Limit {
		head := connlimit.NewHead(handler.Memory, handler.MaxHeaderBytes)
		head.Refusal = func(reason connlimit.Reason) []byte { return refusal(reason, handler.MaxHeaderBytes()) }

		return head
	}

	metric.Gauge(p.metrics, "connections.clients", limited.Count)

	return limited
}

// limitProbes bounds the connections of a port for probes or metrics.
func (p *process) limitProbes(listener net.Listener, port string) *connlimit.Listener {
	budget := &memory.Budget{Limit: probeMemory}

	return &connlimit.Listener{
		Listener:    listener,
		MaxConns:    probeConns,
		NewLimit:    func() connlimit.Limit { return connlimit.NewHead(budget, func() int64 { return probeHeadBytes }) },
		IdleTimeout: func() time.Duration { return idleTimeout },
		OnRefuse:    p.reportRefused(port),
	}
}

// limitMessages bounds the connections of entries to an agent.
func (p *process) limitMessages(listener net.Listener) *connlimit.Listener {
	budget := p.requestMemory()
	budget.Headroom = min(connlimit.MessageMemory(conn.MaxMessageBytes), budget.Limit/headroomDivisor)

	return &connlimit.Listener{
		Listener: listener,
		MaxConns: max(p.settings.DescriptorLimit-reservedDescriptors, 0) * agentDescriptors / agentDescriptorShare,
		NewLimit: func() connlimit.Limit { return connlimit.NewFrame(budget) },
		OnRefuse: p.reportRefused("messages"),
	}
}

// maxClientConns returns the number of connections of clients that memory in bytes and descriptors allow; limits of 0 do not count, and a
// result of 0 is no bound.
func maxClientConns(memoryLimit int64, descriptors int) int {
	conns := int(memoryLimit / connMemoryShare / connBytes)
	free := (descriptors - reservedDescriptors) / clientDescriptorShare

	switch {
	case descriptors <= 0:
		return conns
	case conns <= 0:
		return max(free, 1)
	default:
		return max(min(conns, free), 1)
	}
}

// refusal returns the response to a request whose head has not been read to its end.
func refusal(reason connlimit.Reason, maxHeader int64) []byte {
	switch reason {
	case connlimit.TooLarge:
		return platform.HeadRefusal(fault.New(fault.HeadersTooLarge, "the headers are larger than %d bytes", maxHeader))
	case connlimit.NoMemory:
		return platform.HeadRefusal(fault.New(fault.Overloaded, "other requests take the memory for requests"))
	default:
		return nil
	}
}

// reportRefused returns a function that counts refused connections of a port and logs them.
func (p *process) reportRefused(port string) func(connlimit.Reason) {
	var (
		mu      sync.Mutex
		logged  = map[connlimit.Reason]time.Time{}
		refused = map[connlimit.Reason]int{}
	)

	return func(reason connlimit.Reason) {
		metric.Count(p.metrics, "connections.refused."+port+"."+string(reason))

		mu.Lock()
		defer mu.Unlock()

		refused[reason]++

		if now := time.Now(); now.Sub(logged[reason]) >= refusalLogPeriod {
			p.log.WithFields(logrus.Fields{"port": port, "reason": reason, "count": refused[reason]}).Warn("connections refused")
			logged[reason], refused[reason] = now, 0
		}
	}
}
