package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"celerybank/internal/httpresponse"
	"celerybank/internal/operator"
)

// controlOptions are the flags of the control command.
type controlOptions struct {
	nodes    []string
	platform string
	duration time.Duration
	suffix   string
}

// The users' bounds on the resources that a node uses for control.
const (
	controlTargetCPUPercent = 2.6
	controlTargetMemoryMB   = 64.0
	controlTargetBytesPerS  = 17_000.0
)

func addControl(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("control", "Measure the resources that the nodes use while no requests are sent: traffic between nodes, CPU, memory, and calls to the log service.")
	o := &controlOptions{}
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("platform", "Address (IP:port) of the stand-in for the log service.").Required().StringVar(&o.platform)
	c.Flag("duration", "Duration of the measurement.").Default("10s").DurationVar(&o.duration)
	c.Flag("suffix", "Suffix of the names of the results.").StringVar(&o.suffix)
	commands[c.FullCommand()] = o.run
}

// sample holds metrics at one time. Those of nodes are sums over all nodes, except for maxResidentMB.
type sample struct {
	nodes int
	// sentBytes counts what nodes sent to each other, without forwarded requests and responses.
	sentBytes, cpuSeconds     float64
	residentMB, maxResidentMB float64
	// reads and appends count the calls to the log service.
	reads, appends float64
}

func (o *controlOptions) run(ctx context.Context) error {
	addrs, err := operator.NewNodeClient(o.nodes).Addresses()
	if err != nil {
		return err
	}
	before, err := o.collect(addrs)
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-time.After(o.duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := o.collect(addrs)
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	nodeSeconds := elapsed * float64(after.nodes)
	note := fmt.Sprintf("%d nodes", after.nodes)
	cpu, memory, sent := controlTargetCPUPercent, controlTargetMemoryMB, controlTargetBytesPerS
	for _, r := range []Result{
		{Name: "control_bytes_per_node_s", Value: (after.sentBytes - before.sentBytes) / nodeSeconds, Unit: "B/s", Target: &sent, Note: note},
		{Name: "control_cpu_percent", Value: 100 * (after.cpuSeconds - before.cpuSeconds) / nodeSeconds, Unit: "% of a core", Target: &cpu, Note: note},
		{Name: "node_rss_mb", Value: after.residentMB / float64(after.nodes), Unit: "MB", Target: &memory, Note: fmt.Sprintf("%s; largest %.1f MB", note, after.maxResidentMB)},
		{Name: "source_reads_per_s", Value: (after.reads - before.reads) / elapsed, Unit: "1/s", Note: note},
		{Name: "source_appends_per_s", Value: (after.appends - before.appends) / elapsed, Unit: "1/s", Note: note},
	} {
		r.Name += o.suffix
		if err := printResult(r); err != nil {
			return err
		}
	}
	return nil
}

// mebibyte is what the results and controlTargetMemoryMB call MB, in bytes.
const mebibyte = 1 << 20

// collect reads the metrics of the nodes at addrs and the counters of the log service.
func (o *controlOptions) collect(addrs []string) (sample, error) {
	var s sample
	for _, addr := range addrs {
		values, err := scrape(addr)
		if err != nil {
			return s, err
		}
		s.nodes++
		for name, v := range values {
			if strings.HasPrefix(name, "celerybank_peer_bytes_total") && strings.Contains(name, `direction="out"`) && !strings.Contains(name, `duty="proxy"`) {
				s.sentBytes += v
			}
		}
		s.cpuSeconds += values["process_cpu_seconds_total"]
		rss := values["process_resident_memory_bytes"] / mebibyte
		s.residentMB += rss
		s.maxResidentMB = max(s.maxResidentMB, rss)
	}
	var stats struct{ Appends, Reads map[string]float64 }
	if err := operator.Get(o.platform, "/control/stats", &stats); err != nil {
		return s, err
	}
	for _, n := range stats.Reads {
		s.reads += n
	}
	for _, n := range stats.Appends {
		s.appends += n
	}
	return s, nil
}

// scrape returns the metrics of the node at addr, by name with labels. It reads the Prometheus text format.
func scrape(addr string) (map[string]float64, error) {
	code, body, err := httpresponse.DefaultClient.Get(nil, "http://"+addr+"/metrics")
	if err != nil {
		return nil, errors.Wrapf(err, "metrics of %s", addr)
	}
	if code != fasthttp.StatusOK {
		return nil, errors.Errorf("metrics of %s: got status %d, want 200", addr, code)
	}
	out := map[string]float64{}
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		name, value, ok := splitSample(lines.Text())
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out, nil
}

// splitSample splits a line of the Prometheus text format. ok is false for a comment or a line without a value.
func splitSample(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
