package soak

import (
	"context"
	"sync"
)

// process is one run of an entry or agent, or a client outside the fleet.
type process struct {
	// name is the name on the network; a restarted process on the same VM has the same name.
	name   string
	domain string
	// dead is closed when the process is killed or has ended. From then on it has no effect on other processes.
	dead chan struct{}
	once sync.Once
	// stop starts a graceful shutdown.
	stop context.CancelFunc
	// done is closed when the process has ended.
	done chan struct{}
}

func newProcess(name, domain string) *process {
	return &process{name: name, domain: domain, dead: make(chan struct{}), done: make(chan struct{})}
}

// run starts the process. Its connections are closed when it ends, as the operating system would do.
func (p *process) run(network *Network, serve func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel

	go func() {
		defer close(p.done)

		_ = serve(ctx)
		p.once.Do(func() { close(p.dead) })
		network.release(p)
	}()
}

// kill disconnects the process at once. Its goroutines then end through their own shutdown, which has no effect on other
// processes.
func (p *process) kill(network *Network) {
	p.once.Do(func() { close(p.dead) })
	network.closeLinks(p)
	p.stop()
}

// isDead reports whether the process was killed or has ended.
func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}
