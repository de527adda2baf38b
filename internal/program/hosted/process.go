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
	"github.com/chestnutbeam/chestnutbeam/internal/core/memory"
	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
	"github.com/chestnutbeam/chestnutbeam/internal/core/stall"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/connlimit"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

const (
	// memoryRatio is the ratio of the soft memory limit of the garbage collector to the memory limit of the process.
	memoryRatio = 0.6
	// gcPercent is the growth of the heap between two garbage collections, in percent.
	gcPercent = 200
	// reloadInterval is the time between two checks of the settings file, which may change without a signal.
	reloadInterval = 2 * time.Second
	// logLinesPerSecond is the maximum number of lines per second for each log message.
	logLinesPerSecond = 100
	// MetricsPort is the port of the metrics; deploy/system.toml has the same number.
	MetricsPort = "7614"
	// headerTimeout limits the time to read a request header if there is no configuration yet, and of probes and metrics.
	headerTimeout = 5 * time.Second
	// flushTimeout limits the wait for the last lines of the log.
	flushTimeout = 100 * time.Millisecond
	// responseMemoryShare is the part of the memory of the process, as a divisor, that large heads and incomplete events of responses may
	// take.
	responseMemoryShare = 16
)

// process holds what entries and agents have in common.
type process struct {
	settings platform.Settings
	// file is the last valid content of the settings file; nil if the settings were given.
	file []byte
	// hangups receives SIGHUP from the start of the process, because its default action would end the process.
	hangups chan os.Signal
	log     logrus.FieldLogger
	metrics metrics.Registry
	// stalls tells how late a signal may have been read.
	stalls stall.Monitor
	// writer is where the log goes.
	writer *logs.Writer
}

// start creates the process and its log. It loads the settings unless they are given.
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

	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryRatio))
	}

	log := logrus.New()
	writer := logs.New(os.Stdout)
	log.SetFormatter(&logs.RateLimiter{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, LinesPerSecond: logLinesPerSecond})
	log.SetOutput(writer)

	if given == nil {
		// Violated invariants go to the standard logger.
		logrus.SetFormatter(log.Formatter)
		logrus.SetOutput(writer)
	}

	p.writer = writer
	p.log = log.WithField("vm", settings.VM)
	metric.Gauge(p.metrics, "log.dropped", writer.Dropped)
	metric.Gauge(p.metrics, "invariant.violation", invariant.Violations.Count)
	p.log.WithFields(logrus.Fields{"role": role, "domain": settings.Domain, "store": settings.StoreAddress}).Info("process started")

	return p, nil
}

// responseMemory returns the budget of what is kept of responses under way.
func (p *process) responseMemory() *memory.Budget {
	return &memory.Budget{Limit: p.settings.MemoryLimit / responseMemoryShare}
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

// reload calls apply with the new settings after each SIGHUP, and when the file has changed without one.
func (p *process) reload(ctx context.Context, apply func(platform.Settings)) {
	ticker := time.NewTicker(reloadInterval)
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

// serveMetrics serves the metrics until the context ends.
func (p *process) serveMetrics(ctx context.Context) error {
	listener, err := listen(ctx, net.JoinHostPort(p.settings.Address, MetricsPort))
	if err != nil {
		return err
	}

	server := echo.New()
	server.GET("/metrics", echo.WrapHandler(metric.Handler(p.metrics)))

	go serve(ctx, p.log, p.limitProbes(listener, "metrics"), server)

	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: connlimit.SetReadBuffer}

	listener, err := config.Listen(ctx, "tcp", address)

	return listener, errors.Wrapf(err, "listen on %s", address)
}

func serve(ctx context.Context, log logrus.FieldLogger, listener *connlimit.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: probeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: probeHeadBytes, ConnState: listener.ObserveState,
	}

	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).Error("server ended")
	}
}

// flushLog waits for the last lines of the log.
func (p *process) flushLog() {
	p.writer.Flush(flushTimeout)
}

// counter returns a function that adds one to a counter.
func (p *process) counter(name string) func() {
	return func() { metric.Count(p.metrics, name) }
}
