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

// sha256Size is the size of a SHA-256 hash, in bytes.
const sha256Size = 32

// checker validates settings and keeps the first error.
type checker struct {
	err error
}

// Validate implements Settings.
func (e *Entry) Validate() error {
	var check checker

	check.checkPlace(e.Place)
	check.checkPlatform(e.Platform)
	check.checkAddress("listen", e.Listen)
	check.checkAddress("peer", e.Peer)
	check.require(e.Listen != e.Peer, "peer", "is the same address as listen")

	for i, operator := range e.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		check.requireValue(field+".name", operator.Name)
		check.checkHash(field+".hash", operator.Hash)
		check.require(!slices.ContainsFunc(e.Operators[:i], func(other Operator) bool { return other.Name == operator.Name }),
			field+".name", "%q is listed twice", operator.Name)
	}

	check.checkDrainAndLog(e.Drain, e.Log)

	return check.err
}

// Validate implements Settings.
func (a *Agent) Validate() error {
	var check checker

	check.checkPlace(a.Place)
	check.checkPlatform(a.Platform)
	check.requireValue("server", a.Server)
	check.checkAddress("listen", a.Listen)
	check.checkAddress("metrics", a.Metrics)
	check.require(a.Listen != a.Metrics, "metrics", "is the same address as listen")
	check.require((a.Engine == "") != (a.Service == ""), "engine", "exactly one of engine and service must be set")
	check.require((a.Service == "") == (a.Name == ""), "name", "must be set if and only if service is set")

	if a.Engine != "" {
		check.checkURL("engine", a.Engine)
	}

	if a.Service != "" {
		check.checkURL("service", a.Service)
	}

	check.checkDrainAndLog(a.Drain, a.Log)

	return check.err
}

// require records an error for the field unless ok is true or an earlier check failed.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if ok || c.err != nil {
		return
	}

	c.err = fault.New(fault.InvalidRequest, "settings: %s: %s", field, fmt.Sprintf(format, args...)).WithParam(field)
}

func (c *checker) checkPlace(place Place) {
	c.requireValue("place.vm", place.VM)
	c.requireValue("place.domain", place.Domain)
}

func (c *checker) checkPlatform(platform Platform) {
	c.checkURL("platform.table", platform.Table)
	c.checkURL("platform.objects", platform.Objects)
	c.checkURL("platform.vms", platform.VMs)
}

func (c *checker) checkDrainAndLog(drain time.Duration, level string) {
	c.require(drain >= 0, "drain", "must not be below 0")

	if level != "" {
		_, err := logrus.ParseLevel(level)
		c.require(err == nil, "log", "%q is not a log level", level)
	}
}

func (c *checker) requireValue(field, value string) {
	c.require(value != "", field, "is required")
}

// checkAddress accepts only ip:port, because processes reach each other by IP address. Port 0 lets the system choose a port.
func (c *checker) checkAddress(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, field, "%q is not ip:port with a numeric IP address", value)
}

func (c *checker) checkURL(field, value string) {
	parsed, err := url.Parse(value)
	ok := err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
	c.require(ok, field, "%q is not an http or https URL", value)
}

// checkHash accepts the SHA-256 hash of an operator's token in hex.
func (c *checker) checkHash(field, value string) {
	sum, err := hex.DecodeString(value)
	c.require(err == nil && len(sum) == sha256Size, field, "must be the SHA-256 hash of the operator's token in 64 hex digits")
}
