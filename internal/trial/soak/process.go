package soak

import (
	"context"
	"sync"
)

// process is one run of an entry or agent, or a caller.
type process struct {
	// name is the name on the network; a successor on the same VM has the same one.
	name   string
	domain string
	// dead is closed when the process is killed; from then on nothing that it does has an effect outside.
	dead chan struct{}
	once sync.Once
	// stop asks for a graceful shutdown.
	stop context.CancelFunc
	// done is closed when the process has ended.
	done chan struct{}
}

func newProcess(name, domain string) *process {
	return &process{name: name, domain: domain, dead: make(chan struct{}), done: make(chan struct{})}
}

// run starts the process. Its connections close when it ends, as the operating system does it.
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

// kill cuts the process off at once. Its goroutines then end by their own shutdown, whose effects reach nobody.
func (p *process) kill(network *Network) {
	p.once.Do(func() { close(p.dead) })
	network.sever(p)
	p.stop()
}

func (p *process) gone() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}
