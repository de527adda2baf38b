package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
)

// hashBytes is the length of a SHA-256.
const hashBytes = 32

// checker keeps the first error.
type checker struct {
	err error
}

// Validate implements Settings.
func (e *Entry) Validate() error {
	var check checker

	check.place(e.Place)
	check.platform(e.Platform)
	check.address("listen", e.Listen)
	check.address("peer", e.Peer)
	check.that(e.Listen != e.Peer, "peer", "is the same address as listen")

	for i, operator := range e.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		check.required(field+".name", operator.Name)
		check.hash(field+".hash", operator.Hash)
		check.that(!slices.ContainsFunc(e.Operators[:i], func(other Operator) bool { return other.Name == operator.Name }),
			field+".name", "%q is listed twice", operator.Name)
	}

	check.rest(e.Drain, e.Log)

	return check.err
}

// Validate implements Settings.
func (a *Agent) Validate() error {
	var check checker

	check.place(a.Place)
	check.platform(a.Platform)
	check.required("server", a.Server)
	check.address("listen", a.Listen)
	check.address("metrics", a.Metrics)
	check.that(a.Listen != a.Metrics, "metrics", "is the same address as listen")
	check.that((a.Engine == "") != (a.Service == ""), "engine", "want exactly one of engine and service")
	check.that((a.Service == "") == (a.Name == ""), "name", "is set exactly when service is set")

	if a.Engine != "" {
		check.url("engine", a.Engine)
	}

	if a.Service != "" {
		check.url("service", a.Service)
	}

	check.rest(a.Drain, a.Log)

	return check.err
}

func (c *checker) that(ok bool, field, format string, args ...any) {
	if ok || c.err != nil {
		return
	}

	c.err = fault.New(fault.InvalidRequest, "settings: %s: %s", field, fmt.Sprintf(format, args...)).WithParam(field)
}

func (c *checker) place(place Place) {
	c.required("place.vm", place.VM)
	c.required("place.domain", place.Domain)
}

func (c *checker) platform(platform Platform) {
	c.url("platform.table", platform.Table)
	c.url("platform.objects", platform.Objects)
	c.url("platform.vms", platform.VMs)
}

func (c *checker) rest(drain time.Duration, level string) {
	c.that(drain >= 0, "drain", "must not be below 0")

	if level != "" {
		_, err := logrus.ParseLevel(level)
		c.that(err == nil, "log", "%q is not a log level", level)
	}
}

func (c *checker) required(field, value string) {
	c.that(value != "", field, "is required")
}

// address accepts ip:port only, because processes reach each other by IP address; port 0 lets the system choose.
func (c *checker) address(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.that(err == nil, field, "%q is not ip:port with a numeric IP address", value)
}

func (c *checker) url(field, value string) {
	parsed, err := url.Parse(value)
	ok := err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
	c.that(ok, field, "%q is not an http or https URL", value)
}

func (c *checker) hash(field, value string) {
	sum, err := hex.DecodeString(value)
	c.that(err == nil && len(sum) == hashBytes, field, "want the SHA-256 in 64 hex digits")
}
