// Package hosted runs entries and agents on the users' platform.
package hosted

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/invariant"
	"github.com/chestnutbeam/chestnutbeam/internal/core/logs"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

const (
	// memoryShare is the part of the process's memory limit that the collector keeps below.
	memoryShare = 0.6
	// collectPercent is the growth of the heap between two collections, in percent.
	collectPercent = 200
	// reloadPeriod is the time between two looks at the settings file, which may change without a signal.
	reloadPeriod = 2 * time.Second
	// logLines is the number of lines a second for each message.
	logLines = 100
	// MetricsPort is the port of the metrics, which deploy/system.toml names too.
	MetricsPort = "7614"
	// headerTime bounds the reading of request heads before the first configuration.
	headerTime = 5 * time.Second
)

// process is what entries and agents have in common.
type process struct {
	settings platform.Settings
	// file is the content of the settings file as last read; nil if the settings were given.
	file []byte
	// hangups takes SIGHUP from the start on, since its default action ends the process.
	hangups chan os.Signal
	log     logrus.FieldLogger
	metrics metrics.Registry
}

// start loads the settings unless they are given.
func start(role string, given *platform.Settings) (*process, error) {
	p := &process{metrics: metrics.NewRegistry(), hangups: make(chan os.Signal, 1)}
	signal.Notify(p.hangups, syscall.SIGHUP)

	if given != nil {
		p.settings = *given
	} else if err := p.load(); err != nil {
		return nil, err
	}

	settings := p.settings

	debug.SetGCPercent(collectPercent)

	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
	}

	log := logrus.New()
	writer := logs.New(os.Stdout)
	log.SetFormatter(&logs.RateLimiter{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, LinesPerSecond: logLines})
	log.SetOutput(writer)

	if given == nil {
		// Violated invariants go to the standard logger.
		logrus.SetFormatter(log.Formatter)
		logrus.SetOutput(writer)
	}

	p.log = log.WithField("vm", settings.VM)
	metric.Gauge(p.metrics, "log.dropped", writer.Dropped)
	metric.Gauge(p.metrics, "invariant.violation", invariant.Violations.Count)
	p.log.WithFields(logrus.Fields{"role": role, "domain": settings.Domain, "store": settings.StoreAddress}).Info("process started")

	return p, nil
}

// load reads the settings file.
func (p *process) load() error {
	data, err := platform.ReadSettings()
	if err != nil {
		return err
	}

	if p.settings, err = platform.ParseSettings(data); err != nil {
		return err
	}

	p.file = data

	return nil
}

// reload calls apply with the settings after a SIGHUP, and when the file has changed without one.
func (p *process) reload(ctx context.Context, apply func(platform.Settings)) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-p.hangups:
			p.reloadOnce(true, apply)
		case <-ticker.C:
			p.reloadOnce(false, apply)
		}
	}
}

func (p *process) reloadOnce(signaled bool, apply func(platform.Settings)) {
	data, err := platform.ReadSettings()
	if err == nil && !signaled && bytes.Equal(data, p.file) {
		return
	}

	var settings platform.Settings
	if err == nil {
		settings, err = platform.ParseSettings(data)
	}

	if err != nil {
		p.log.WithError(err).Error("settings not reloaded")
		return
	}

	p.file = data
	p.log.WithField("store", settings.StoreAddress).WithField("signal", signaled).Info("settings reloaded")
	apply(settings)
}

// serveMetrics serves the counters and histograms until the context ends.
func (p *process) serveMetrics(ctx context.Context) error {
	listener, err := listen(ctx, net.JoinHostPort(p.settings.Address, MetricsPort))
	if err != nil {
		return err
	}

	server := echo.New()
	server.GET("/metrics", echo.WrapHandler(metric.Handler(p.metrics)))

	go serve(ctx, p.log, listener, server)

	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", address)

	return listener, errors.Wrapf(err, "listen on %s", address)
}

func serve(ctx context.Context, log logrus.FieldLogger, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTime}

	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).Error("server ended")
	}
}

// counter returns a function that adds one to a counter.
func (p *process) counter(name string) func() {
	return func() { metric.Count(p.metrics, name) }
}
