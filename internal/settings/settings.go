// Package settings reads and validates the static settings of a node. They are validated completely
// before the node starts, and do not change while it runs.
package settings

import (
	_ "embed"
	"encoding/json"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/fault"
	"celerybank/internal/schema"
)

//go:embed settings.schema.json
var schemaText []byte

var settingsSchema = schema.Compile("settings.schema.json", schemaText)

// Duration is a duration that is written with its unit, such as 250ms.
type Duration = duration.Duration

// Config has the settings of one node.
type Config struct {
	// Name is the name of the node, unique to its host.
	Name string `json:"name"`
	// Zone is the availability zone of the host.
	Zone string `json:"zone"`
	// Region is the region of the zone. Requests leave it only if it has no upstream with a free slot.
	Region string `json:"region"`
	// Listen has the addresses (IP:port) that the node listens on.
	Listen Listen `json:"listen"`
	// Platform locates the log service.
	Platform Platform `json:"platform"`
	// Seeds are addresses (IP:port) of peers through which the node joins the membership. If none replies,
	// it uses addresses from the hello stream of the log.
	Seeds []string `json:"seeds"`
	// Limits bounds the requests that the node accepts and the resources that it uses.
	Limits Limits `json:"limits"`
	// Drain is the maximum time that a graceful stop waits for requests in flight. Default 10s: long
	// enough for the slowest route, and short enough for the replacement of a host.
	Drain Duration `json:"drain"`
	// Log bounds the log lines of the node.
	Log Log `json:"log"`
}

// Log bounds the log lines on standard output. The metrics and the timeline are not limited.
type Log struct {
	// LinesPerSecond is the maximum of log lines per second for one event code. Default 40; a higher
	// limit costs CPU time when many requests fail.
	LinesPerSecond int `json:"lines_per_second"`
	// ServedEvery writes a line for every ServedEvery-th served request. Default 0: no lines.
	ServedEvery int `json:"served_every"`
}

// Listen has the addresses that a node listens on.
type Listen struct {
	// Callers accepts the HTTP requests of callers.
	Callers string `json:"callers"`
	// Peers accepts the RPCs of other nodes.
	Peers string `json:"peers"`
	// Admin accepts the announcements of the host's upstream, requests of operators and metrics scrapes.
	Admin string `json:"admin"`
}

// Platform locates the log service.
type Platform struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Timeout bounds one append or one read; for a read that waits for new records, the waiting time is
	// added. Default 2s.
	Timeout Duration `json:"timeout"`
}

// Limits bounds the requests that a node accepts and the resources that it uses.
type Limits struct {
	// BodyBytes is the maximum size of a request or response body. Default 1 MiB.
	BodyBytes int `json:"body_bytes"`
	// CallTimeout is the timeout of a request for which neither the route nor the caller gives one.
	// Default 5s.
	CallTimeout Duration `json:"call_timeout"`
	// UpstreamConnections is the maximum number of connections to the host's upstream. Default 120.
	UpstreamConnections int `json:"upstream_connections"`
	// ControlBytesPerSecond is the maximum rate at which the node sends membership and configuration
	// data. Default 17000; a lower rate slows down convergence.
	ControlBytesPerSecond int `json:"control_bytes_per_second"`
}

// Default returns a Config with the values of the settings that a file may omit.
func Default() Config {
	return Config{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Limits: Limits{BodyBytes: 1 << 20, CallTimeout: Duration(5 * time.Second),
			UpstreamConnections: 120, ControlBytesPerSecond: 17_000},
		Drain: Duration(10 * time.Second),
		Log:   Log{LinesPerSecond: events.LinesPerSecond},
	}
}

// Load reads and validates the file at path. Invalid settings are reported as a fault.List.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse validates text and returns the settings with defaults filled in. Invalid settings are reported as
// a fault.List.
func Parse(text []byte) (Config, error) {
	if faults := schema.Check(settingsSchema, text); faults != nil {
		return Config{}, faults
	}
	c := Default()
	if err := json.Unmarshal(text, &c); err != nil {
		return Config{}, fault.List{{Reason: err.Error()}}
	}
	if faults := c.check(); len(faults) > 0 {
		return Config{}, faults
	}
	return c, nil
}

// check returns the faults that the JSON schema cannot express.
func (c Config) check() fault.List {
	var faults fault.List
	checkAddress := func(path, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			faults = append(faults, fault.Fault{Path: path, Reason: "not an IP address with port: " + value})
		}
	}
	checkAddress("listen.callers", c.Listen.Callers)
	checkAddress("listen.peers", c.Listen.Peers)
	checkAddress("listen.admin", c.Listen.Admin)
	checkAddress("platform.address", c.Platform.Address)
	for i, s := range c.Seeds {
		checkAddress("seeds["+strconv.Itoa(i)+"]", s)
	}
	checkPositive := func(path string, d Duration) {
		if d <= 0 {
			faults = append(faults, fault.Fault{Path: path, Reason: "must be greater than zero"})
		}
	}
	checkPositive("platform.timeout", c.Platform.Timeout)
	checkPositive("limits.call_timeout", c.Limits.CallTimeout)
	checkPositive("drain", c.Drain)
	return faults
}
