package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// fleetKey is the key of the *fleet in testscript.Env.Values.
type fleetKey struct{}

// zones are the names of the availability zones in examples/iblee; zone z is zones[z-1].
var zones = []string{"vittoria", "ragusa", "comiso", "pachino"}

// fleet holds the processes of one script. Host h of zone z has the address 127.base.z.h; zones
// and hosts count from 1. The platform has the address 127.base.0.1.
type fleet struct {
	// bin is the directory of the programs, dir that of logs, settings and reports.
	bin, dir string
	base     int

	processes  map[string]*exec.Cmd // running processes, without the load generator, by name
	nodes      map[string]bool      // running nodes by "z.h"
	load       *exec.Cmd
	loadOutput bytes.Buffer
}

func newFleet(bin, dir string, base int) *fleet {
	return &fleet{bin: bin, dir: dir, base: base, processes: map[string]*exec.Cmd{}, nodes: map[string]bool{}}
}

func (f *fleet) ip(z, h int) string      { return fmt.Sprintf("127.%d.%d.%d", f.base, z, h) }
func (f *fleet) platform() string        { return f.ip(0, 1) + ":7700" }
func (f *fleet) admin(z, h int) string   { return f.ip(z, h) + ":9000" }
func (f *fleet) callers(z, h int) string { return f.ip(z, h) + ":8080" }

// spawn starts a program under a process name. Its output is appended to the log of that name.
func (f *fleet) spawn(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.processes[name] = cmd
	return nil
}

// startPlatform starts the stand-in for the platform's store and waits until it accepts connections.
func (f *fleet) startPlatform(args ...string) error {
	if err := f.spawn("platform", "celerystandin", append([]string{"platform", "--listen", f.platform()}, args...)...); err != nil {
		return err
	}
	for start := time.Now(); ; time.Sleep(platformPollInterval) {
		c, err := net.Dial("tcp", f.platform())
		if err == nil {
			return c.Close()
		}
		if time.Since(start) > platformStartTimeout {
			return err
		}
	}
}

// platformPollInterval is the time between two attempts to connect to the stand-in.
const platformPollInterval = 20 * time.Millisecond

// platformStartTimeout bounds the start of the stand-in on a busy machine.
const platformStartTimeout = 30 * time.Second

// startNode starts the node of a host; the first hosts of zones 1 and 2 are its seeds.
func (f *fleet) startNode(z, h int) error {
	name := fmt.Sprintf("node-%d-%d", z, h)
	cfg := map[string]any{
		"name": fmt.Sprintf("%s-%d", zones[z-1], h), "zone": zones[z-1], "region": "sicily",
		"listen":   map[string]string{"callers": f.callers(z, h), "peers": f.ip(z, h) + ":7000", "admin": f.admin(z, h)},
		"platform": map[string]string{"address": f.platform(), "timeout": "500ms"},
		"seeds":    []string{f.ip(1, 1) + ":7000", f.ip(2, 1) + ":7000"},
		"drain":    "5s",
	}
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return err
	}
	f.nodes[fmt.Sprintf("%d.%d", z, h)] = true
	return f.spawn(name, "celerybank", "--settings", file, "--fault-control", f.ip(z, h)+":9100")
}

// startUpstream starts the upstream stand-in of a host. All upstreams append to the same ledger.
func (f *fleet) startUpstream(z, h int, args ...string) error {
	name := fmt.Sprintf("upstream-%d-%d", z, h)
	return f.spawn(name, "celerystandin", append([]string{"upstream", "--listen", f.ip(z, h) + ":8000", "--node", f.admin(z, h),
		"--ledger", filepath.Join(f.dir, "ledger")}, args...)...)
}

// signal sends sig to a process. After SIGKILL and SIGTERM it waits until the process has exited and
// returns its exit code.
func (f *fleet) signal(name string, sig syscall.Signal) (exitCode int, err error) {
	cmd := f.processes[name]
	if cmd == nil {
		return 0, errors.Errorf("no running process %s", name)
	}
	if err := cmd.Process.Signal(sig); err != nil {
		return 0, err
	}
	if sig != syscall.SIGKILL && sig != syscall.SIGTERM {
		return 0, nil
	}
	delete(f.processes, name)
	var z, h int
	if n, _ := fmt.Sscanf(name, "node-%d-%d", &z, &h); n == 2 {
		delete(f.nodes, fmt.Sprintf("%d.%d", z, h))
	}
	_ = cmd.Wait() // its error repeats the exit code
	return cmd.ProcessState.ExitCode(), nil
}

// partition blocks traffic between the nodes of zone z and those of all other zones, and between the
// nodes of zone z and the platform. It ends the partition of any other zone; with 0 for z it ends all.
func (f *fleet) partition(z int) error {
	for key := range f.nodes {
		var nz, nh int
		if _, err := fmt.Sscanf(key, "%d.%d", &nz, &nh); err != nil {
			return err
		}
		var prefixes []string
		for other := 0; other <= len(zones); other++ {
			if (nz == z) != (other == z) && (nz == z || other == z) {
				prefixes = append(prefixes, fmt.Sprintf("127.%d.%d.", f.base, other))
			}
		}
		if z == 0 {
			prefixes = nil
		}
		if err := postJSON("http://"+f.ip(nz, nh)+":9100/", prefixes); err != nil {
			return err
		}
	}
	return nil
}

// postTimeout bounds one request to a stand-in or to the fault control of a node.
const postTimeout = 2 * time.Second

// postJSON sends body as JSON to url. A response with status 400 or above is an error.
func postJSON(url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: postTimeout}
	resp, err := client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}

// stop kills all processes, suspended ones included.
func (f *fleet) stop() {
	for _, cmd := range f.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}
