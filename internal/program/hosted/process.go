// Package hosted runs entry and agent processes on the hosting platform.
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
	// memoryShare is the fraction of the process's memory limit that is set as the soft limit of the garbage collector.
	memoryShare = 0.6
	// gcPercent is the heap growth between two garbage collections, in percent.
	gcPercent = 200
	// reloadPeriod is the interval at which the settings file is checked, because it may change without a signal.
	reloadPeriod = 2 * time.Second
	// logLinesPerSecond is the maximum number of log lines per second for each message.
	logLinesPerSecond = 100
	// MetricsPort is the port of the metrics endpoint; deploy/system.toml contains it, too.
	MetricsPort = "7614"
	// headerTimeout is the read timeout for request headers until the first configuration is received, and of the metrics and
	// readiness endpoints.
	headerTimeout = 5 * time.Second
)

// process holds what entry and agent processes have in common.
type process struct {
	settings platform.Settings
	// file is the content of the settings file when it was last read; nil if the settings were passed in.
	file []byte
	// hangups receives SIGHUP from the start on, because the default action of the signal ends the process.
	hangups chan os.Signal
	log     logrus.FieldLogger
	metrics metrics.Registry
}

// start loads the settings unless they are passed in, and sets up memory limits, logging and metrics.
func start(role string, given *platform.Settings) (*process, error) {
	p := &process{metrics: metrics.NewRegistry(), hangups: make(chan os.Signal, 1)}
	signal.Notify(p.hangups, syscall.SIGHUP)

	if given != nil {
		p.settings = *given
	} else if err := p.load(); err != nil {
		return nil, err
	}

	settings := p.settings

	debug.SetGCPercent(gcPercent)

	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryShare))
	}

	log := logrus.New()
	writer := logs.New(os.Stdout)
	log.SetFormatter(&logs.RateLimiter{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, LinesPerSecond: logLinesPerSecond})
	log.SetOutput(writer)

	if given == nil {
		// Package invariant logs violations with the standard logger.
		logrus.SetFormatter(log.Formatter)
		logrus.SetOutput(writer)
	}

	p.log = log.WithField("vm", settings.VM)
	metric.Gauge(p.metrics, "log.dropped", writer.Dropped)
	metric.Gauge(p.metrics, "invariant.violation", invariant.Violations.Count)
	p.log.WithFields(logrus.Fields{"role": role, "domain": settings.Domain, "store": settings.Store}).Info("process started")

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

// reload calls apply with the new settings after a SIGHUP or a change of the settings file, until the context is done.
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

// reloadOnce reads the settings file and calls apply if the file has changed or a signal was received. Invalid settings are
// logged, and the current ones stay in use.
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
	p.log.WithField("store", settings.Store).WithField("signal", signaled).Info("settings reloaded")
	apply(settings)
}

// serveMetrics serves the metrics endpoint until the context is done.
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

// serve runs an HTTP server on the listener until the context is done.
func serve(ctx context.Context, log logrus.FieldLogger, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}

	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).Error("HTTP server failed")
	}
}

// counter returns a function that increments a counter.
func (p *process) counter(name string) func() {
	return func() { metric.Count(p.metrics, name) }
}
