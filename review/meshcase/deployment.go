package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports on the address of a machine.
const (
	callersPort  = 8300
	upstreamPort = 8301
	readyPort    = 8302
	controlPort  = 8306
	firstPeers   = 7620
)

// heartbeat is the interval of the announcements of an upstream.
const heartbeat = 1500 * time.Millisecond

// services are the services of a deployment, and zones its availability zones. Each zone has one machine of each service.
var (
	services = []string{"stock", "orders"}
	zones    = []string{"a", "b", "c", "d"}
)

// machine is one machine of the deployment: a node, which is a process of its own, and an upstream.
type machine struct {
	number            int
	ip, zone, service string
	dir               string
	upstream          *upstream

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	started time.Time
}

func (m *machine) addr(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// deployment is a store and some machines on loopback addresses.
type deployment struct {
	dir      string
	store    string
	storeCmd *exec.Cmd
	machines []*machine
}

// newDeployment starts the store, writes the first configuration and starts count nodes, each with an upstream.
func newDeployment(count int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "meshcase")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	base := fmt.Sprintf("127.%d.%d.", 100+pid%100, pid/100%250)
	d := &deployment{dir: dir, store: base + "250:8309"}
	d.storeCmd = exec.Command("bin/celerystandin", "platform", "--listen", d.store)
	if err := d.storeCmd.Start(); err != nil {
		return d, err
	}
	if err := d.writeConfig(); err != nil {
		return d, err
	}
	for i := range count {
		m := &machine{number: i, ip: base + strconv.Itoa(i+1), zone: zones[i/len(services)%len(zones)], service: services[i%len(services)], dir: dir}
		if err := os.WriteFile(m.file("json"), m.settings(d.store), 0o600); err != nil {
			return d, err
		}
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return d, err
		}
		if m.upstream, err = startUpstream(m, 0); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(10 * time.Second)
}

// awaitReady waits until all nodes are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if r, err := client.Get("http://" + m.addr(readyPort) + "/api/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.machines) {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after %v", limit)
}

// end kills all processes of the deployment and removes its files.
func (d *deployment) end() {
	for _, m := range d.machines {
		m.kill()
	}
	if d.storeCmd != nil && d.storeCmd.Process != nil {
		_ = d.storeCmd.Process.Kill()
		_ = d.storeCmd.Wait()
	}
	_ = os.RemoveAll(d.dir)
}

// writeConfig writes the operator's first configuration: a safe and an unsafe route for each service.
func (d *deployment) writeConfig() error {
	var routes, list [][]any
	for i, s := range services {
		routes = append(routes,
			[]any{s + "-read", "mesh.example", "/" + s + "/read/", "safe", 2.0, 0.5, 2, s, 2},
			[]any{s + "-long", "mesh.example", "/" + s + "/long/", "safe", longTimeout.Seconds(), 2.0, 2, s, 2},
			[]any{s + "-write", "mesh.example", "/" + s + "/write/", "unsafe", 2.5, 0.6, i, s, 2})
		list = append(list, []any{s, "/health", 120, coldFor.Seconds(), coldRate})
	}
	value, err := json.Marshal(map[string]any{"version": "00000007",
		"routes":   map[string]any{"columns": []string{"name", "authority", "path_prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "attempts"}, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "cold_start_s", "cold_per_s"}, "rows": list},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15}})
	if err != nil {
		return err
	}
	const key = "config"
	record := append(append([]byte{byte(len(key))}, key...), value...)
	body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := http.Post("http://"+d.store+"/api/log-append?topic=keyed.op&part=0", "application/octet-stream", bytes.NewReader(body))
		if err != nil {
			continue // the store starts
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the store does not accept the configuration")
}

func (m *machine) file(kind string) string {
	return filepath.Join(m.dir, "machine-"+strconv.Itoa(m.number)+"."+kind)
}

// settings returns the settings file of the node, with the values of the iblee-mesh deployment.
func (m *machine) settings(store string) []byte {
	text, err := json.Marshal(map[string]any{"node_name": "sidecar-" + m.zone + "-" + strconv.Itoa(m.number), "role": "node", "machine_class": "sidecar",
		"serves": []string{"sidecar", "control"}, "ip": m.ip, "zone": m.zone, "region": "r", "zones": map[string]string{"a": "r", "b": "r", "c": "r", "d": "r"},
		"listen":     map[string]any{"outbound": m.addr(callersPort), "ready": m.addr(readyPort), "control": m.addr(controlPort)},
		"port_range": []int{firstPeers, firstPeers + 15}, "limits": map[string]any{"memory_mb": 284, "max_fds": 4100}, "heartbeat_s": heartbeat.Seconds(),
		"bounds": []string{"contact_s=3", "drain_s=2", "grace_s=6", "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=60", "canary_share=0.1",
			"canary_slack=50", "cold_overshoot=1.5", "cold_slack=5"},
		"app_addr": m.addr(upstreamPort), "service": m.service, "platform_settings": map[string]any{"address": store}})
	if err != nil {
		panic(err) // values of these types always marshal
	}
	return text
}

// start starts the node with the command of the deploy file.
func (m *machine) start() error {
	logFile, err := os.OpenFile(m.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/celerysidecar")
	cmd.Env = []string{"CELERYBANK_SETTINGS=" + m.file("json"), "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended, m.started = cmd, ended, time.Now()
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

// kill kills the node and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.process, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// startedAt returns when the node was last started.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}
