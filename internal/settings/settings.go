// Package settings reads and checks the static settings of a node. They are
// whole and valid before anything starts, and never change while it runs.
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

// Duration is a time span with its unit.
type Duration = duration.Duration

// Config is the settings of one node.
type Config struct {
	// Name is unique to the host.
	Name string `json:"name"`
	// Zone is the availability zone of the host; it must be one of Zones when those are given.
	Zone string `json:"zone"`
	// Region holds the zone; calls leave it only when it has no upstream with room.
	Region string `json:"region"`
	// Listen has the addresses (IP:port) of the process.
	Listen Listen `json:"listen"`
	// Platform says where the log service is.
	Platform Platform `json:"platform"`
	// Seeds are peer addresses (IP:port) to join by; with none that answers, the log's hello stream serves.
	Seeds []string `json:"seeds"`
	// Limits bound what the node accepts and spends.
	Limits Limits `json:"limits"`
	// Drain bounds how long a stop waits for calls in flight. Default 10s: long
	// enough for the slowest route, short enough for a replacement of the host.
	Drain Duration `json:"drain"`
	// Log bounds what the node writes.
	Log Log `json:"log"`
}

// Log bounds the lines on standard output; counters and the time line have all events.
type Log struct {
	// LinesPerSecond bounds the lines of one event in a second. Default 40; more cost processor
	// time when much goes wrong.
	LinesPerSecond int `json:"lines_per_second"`
	// ServedEvery writes a line for one in so many requests that went well. Default 0: for none.
	ServedEvery int `json:"served_every"`
}

// Listen has the addresses of a node.
type Listen struct {
	// Callers takes HTTP requests of callers.
	Callers string `json:"callers"`
	// Peers takes calls of other nodes.
	Peers string `json:"peers"`
	// Admin takes announcements of the host's upstream, operators' requests and scrapes.
	Admin string `json:"admin"`
}

// Platform locates the log service.
type Platform struct {
	// Address is IP:port.
	Address string `json:"address"`
	// Timeout bounds one append or one read without waiting time. Default 2s.
	Timeout Duration `json:"timeout"`
}

// Limits bound what a node accepts.
type Limits struct {
	// BodyBytes bounds a request or response body. Default 1 MiB.
	BodyBytes int `json:"body_bytes"`
	// CallTimeout is the deadline of a call whose route and caller give none. Default 5s.
	CallTimeout Duration `json:"call_timeout"`
	// UpstreamConnections bounds the connections to the host's upstream. Default 120.
	UpstreamConnections int `json:"upstream_connections"`
	// ControlBytesPerSecond bounds what the node sends for membership and
	// configuration. Default 17000; a lower bound slows convergence.
	ControlBytesPerSecond int `json:"control_bytes_per_second"`
}

// Default returns the values of settings that a file may leave out.
func Default() Config {
	return Config{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Limits: Limits{BodyBytes: 1 << 20, CallTimeout: Duration(5 * time.Second),
			UpstreamConnections: 120, ControlBytesPerSecond: 17_000},
		Drain: Duration(10 * time.Second),
		Log:   Log{LinesPerSecond: events.LinesPerSecond},
	}
}

// Load reads and checks the file at path. Faults in the file are fault.List.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

// Parse checks text and returns the settings with defaults filled in.
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

// check finds what a schema cannot express.
func (c Config) check() fault.List {
	var faults fault.List
	address := func(path, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			faults = append(faults, fault.Fault{Path: path, Reason: "not an IP address with port: " + value})
		}
	}
	address("listen.callers", c.Listen.Callers)
	address("listen.peers", c.Listen.Peers)
	address("listen.admin", c.Listen.Admin)
	address("platform.address", c.Platform.Address)
	for i, s := range c.Seeds {
		address("seeds["+strconv.Itoa(i)+"]", s)
	}
	positive := func(path string, d Duration) {
		if d <= 0 {
			faults = append(faults, fault.Fault{Path: path, Reason: "must be above zero"})
		}
	}
	positive("platform.timeout", c.Platform.Timeout)
	positive("limits.call_timeout", c.Limits.CallTimeout)
	positive("drain", c.Drain)
	return faults
}
