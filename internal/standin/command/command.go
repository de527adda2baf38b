// Package command implements the standin subcommand, which runs one test double of the platform or of a backend server as a
// process.
package command

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/object"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/order"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/table"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/weight"
)

const (
	// shutdownTimeout bounds how long requests in flight may take to complete after the context has ended.
	shutdownTimeout = 2 * time.Second
	// headerTimeout bounds how long a client may take to send the headers of a request.
	headerTimeout = 10 * time.Second
)

// Args holds the command line of the standin subcommand; exactly one of its subcommands is set.
type Args struct {
	Table  *ListenArgs `arg:"subcommand:table"  help:"transactional table service"`
	Object *ListenArgs `arg:"subcommand:object" help:"object store"`
	Weight *ListenArgs `arg:"subcommand:weight" help:"rate-limited weight store"`
	VMs    *VMsArgs    `arg:"subcommand:vms"    help:"list of live and leaving VMs"`
	Engine *EngineArgs `arg:"subcommand:engine" help:"model engine"`
	Order  *ListenArgs `arg:"subcommand:order"  help:"booking and availability service"`

	// Ready is called with the listening address once connections are accepted; may be nil.
	Ready func(address string) `arg:"-"`
}

// ListenArgs holds the options that all subcommands share.
type ListenArgs struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"ip:port to serve HTTP on"`
}

// VMsArgs holds the options of the VM list.
type VMsArgs struct {
	ListenArgs
	Lag time.Duration `arg:"--lag" default:"1s" help:"time until a change is visible"`
}

// EngineArgs holds the options of the model engine.
type EngineArgs struct {
	ListenArgs
	Models  []string      `arg:"--model,separate"            help:"base model to serve; repeatable, none accepts any"`
	Weights string        `arg:"--weights"                   help:"URL of the weight store; none loads in 250 ms"`
	Slots   int           `arg:"--slots"   default:"8"       help:"adapters that fit at once"`
	Batch   int           `arg:"--batch"   default:"32"      help:"requests that run at once"`
	Queue   int           `arg:"--queue"   default:"256"     help:"requests that wait at most"`
	Token   time.Duration `arg:"--token"   default:"20ms"    help:"time for one token of a request that runs alone"`
	Lag     time.Duration `arg:"--lag"     default:"500ms"   help:"age of the load report"`
	Cold    time.Duration `arg:"--cold"    default:"10s"     help:"length of the cold start after a boot"`
	Limit   int           `arg:"--limit"   default:"4"       help:"requests that a cold engine can handle"`
	Fencing bool          `arg:"--fencing"                   help:"refuse orders with an old fencing number"`
}

// Run serves the test double until the context ends.
func (a *Args) Run(ctx context.Context) error {
	switch {
	case a.Table != nil:
		return a.serve(ctx, "table", a.Table.Listen, (&table.Server{}).Handler())
	case a.Object != nil:
		return a.serve(ctx, "object", a.Object.Listen, (&object.Server{}).Handler())
	case a.Weight != nil:
		return a.serve(ctx, "weight", a.Weight.Listen, (&weight.Store{}).Handler())
	case a.VMs != nil:
		return a.serve(ctx, "vms", a.VMs.Listen, (&vms.Server{Lag: a.VMs.Lag}).Handler())
	case a.Engine != nil:
		return a.serve(ctx, "engine", a.Engine.Listen, engine.New(a.Engine.config()).Handler())
	case a.Order != nil:
		return a.serve(ctx, "order", a.Order.Listen, (&order.Server{}).Handler())
	default:
		return fault.New(fault.InvalidRequest, "subcommand missing: want table, object, weight, vms, engine or order")
	}
}

func (e *EngineArgs) config() engine.Config {
	config := engine.Config{
		Models:    e.Models,
		Slots:     e.Slots,
		BatchSize: e.Batch,
		QueueSize: e.Queue,
		TokenTime: e.Token,
		ReportLag: e.Lag,
		Fencing:   e.Fencing,
		ColdTime:  e.Cold,
		ColdLimit: e.Limit,
	}

	if e.Weights != "" {
		config.Fetch = (&weight.Client{URL: e.Weights}).Load
	}

	return config
}

func (a *Args) serve(ctx context.Context, kind, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}

	logrus.WithFields(logrus.Fields{"component": "standin", "server": kind}).Infof("serving on %s", listener.Addr())

	if a.Ready != nil {
		a.Ready(listener.Addr().String())
	}

	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)

	go func() { failed <- server.Serve(listener) }()

	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve %s", kind)
	case <-ctx.Done():
		return shutdown(server)
	}
}

// shutdown waits up to shutdownTimeout for requests in flight, then closes the remaining connections.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()

	if err := server.Shutdown(ctx); err != nil {
		return errors.Wrap(server.Close(), "close connections")
	}

	return nil
}
