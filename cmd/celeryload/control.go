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

	"celerybank/internal/operator"
)

// controlOptions are the flags of the control command.
type controlOptions struct {
	nodes    []string
	platform string
	duration time.Duration
	suffix   string
}

// The users' bounds on what a node spends for control.
const (
	controlCPUTargetPercent = 2.6
	controlMemoryTargetMB   = 64.0
	controlBytesTarget      = 17_000.0
)

func addControl(app *kingpin.Application, commands map[string]func(context.Context) error) {
	c := app.Command("control", "Measure what the nodes spend while no calls are sent: bytes, CPU, memory, and reads of the log.")
	o := &controlOptions{}
	c.Flag("node", "Admin address of a node; may be repeated.").Required().StringsVar(&o.nodes)
	c.Flag("platform", "IP:port of the platform stand-in.").Required().StringVar(&o.platform)
	c.Flag("duration", "How long to observe.").Default("10s").DurationVar(&o.duration)
	c.Flag("suffix", "Suffix of the results' names.").StringVar(&o.suffix)
	commands[c.FullCommand()] = o.run
}

// sample sums the nodes' counters at one time.
type sample struct {
	nodes                    int
	sentBytes, cpuSeconds    float64
	residentMB, residentPeak float64
	reads, appends           float64
}

func (o *controlOptions) run(ctx context.Context) error {
	addrs, err := operator.NewNodeClient(o.nodes).Addresses()
	if err != nil {
		return err
	}
	before, err := o.sample(addrs)
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-time.After(o.duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := o.sample(addrs)
	if err != nil {
		return err
	}
	took := time.Since(start).Seconds()
	perNode := took * float64(after.nodes)
	note := fmt.Sprintf("%d nodes", after.nodes)
	cpu, memory, sent := controlCPUTargetPercent, controlMemoryTargetMB, controlBytesTarget
	for _, r := range []Result{
		{Name: "control_bytes_per_node_s", Value: (after.sentBytes - before.sentBytes) / perNode, Unit: "B/s", Target: &sent, Note: note},
		{Name: "control_cpu_percent", Value: 100 * (after.cpuSeconds - before.cpuSeconds) / perNode, Unit: "% of a core", Target: &cpu, Note: note},
		{Name: "node_rss_mb", Value: after.residentMB / float64(after.nodes), Unit: "MB", Target: &memory, Note: fmt.Sprintf("%s; largest %.1f MB", note, after.residentPeak)},
		{Name: "source_reads_per_s", Value: (after.reads - before.reads) / took, Unit: "1/s", Note: note},
		{Name: "source_appends_per_s", Value: (after.appends - before.appends) / took, Unit: "1/s", Note: note},
	} {
		r.Name += o.suffix
		if err := printResult(r); err != nil {
			return err
		}
	}
	return nil
}

const mebibyte = 1 << 20

func (o *controlOptions) sample(addrs []string) (sample, error) {
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
		s.residentPeak = max(s.residentPeak, rss)
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

// scrape reads a node's metrics in the Prometheus text format.
func scrape(addr string) (map[string]float64, error) {
	code, body, err := fasthttp.Get(nil, "http://"+addr+"/metrics")
	if err != nil {
		return nil, errors.Wrap(err, addr)
	}
	if code != fasthttp.StatusOK {
		return nil, errors.Errorf("%s: status %d", addr, code)
	}
	out := map[string]float64{}
	for lines := bufio.NewScanner(bytes.NewReader(body)); lines.Scan(); {
		name, value, ok := cutLast(lines.Text())
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out, nil
}

func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}
