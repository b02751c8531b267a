package clientlimits

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"celerybank/internal/configlog"
	"celerybank/internal/peer"
	standin "celerybank/internal/standin/platform"
	"celerybank/platform"
	"celerybank/platform/counterpart"
)

// program is the path of the celerysidecar under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clientlimits")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "celerysidecar")
	build := exec.Command("go", "build", "-o", program, "./cmd/celerysidecar")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", out, err)
		return 1
	}
	return m.Run()
}

// Limits in the settings of the nodes under test. memoryMB is that of the smallest hosts, maxFDs is a quarter of theirs, so
// that a small crowd exceeds it.
const (
	memoryMB = 112
	maxFDs   = 1000
)

// Limits in the configuration of the nodes under test, the platform's values.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 20
	headerTimeoutS = 3
	idleTimeoutS   = 15
)

// upstreamSlots is the number of requests that the upstream runs concurrently.
const upstreamSlots = 32

// startTimeout bounds the start of the nodes, and the time until an ordinary request is answered after a crowd.
const startTimeout = 20 * time.Second

// host is the one that requests are sent to, in all routes.
const host = "shop"

// mesh has a store, an entry node without an upstream, and a node that owns the only upstream.
type mesh struct {
	entry, owner *node
	upstream     *upstream
}

// node is a process under test.
type node struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	log      string
	// peakFDs is the largest number of open descriptors that was seen.
	peakFDs atomic.Int64
}

func (n *node) addr(port int) string { return n.ip + ":" + strconv.Itoa(port) }

// startMesh starts a mesh and waits until the entry node serves requests.
func startMesh(t *testing.T) *mesh {
	t.Helper()
	prefix := fmt.Sprintf("127.%d.0.", reserveBase(t))
	store := startStore(t, prefix+"1:7700")
	m := &mesh{upstream: &upstream{release: make(chan struct{})}}
	m.owner = &node{name: "owner", ip: prefix + "3"}
	m.entry = &node{name: "entry", ip: prefix + "2"}
	m.upstream.start(t, m.owner)
	m.owner.start(t, store)
	m.entry.start(t, store)
	m.upstream.announce(t, m.owner)
	m.requireServed(t, m.entry)
	m.requireServed(t, m.owner)
	return m
}

// reserveBase returns a number base for which no other run on this machine uses the addresses 127.base.0.0/16, and reserves it
// until the test ends by listening on one port.
func reserveBase(t *testing.T) int {
	for base := 100; base < 250; base++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7699", base))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return base
		}
	}
	t.Fatal("every loopback address range for tests is in use")
	return 0
}

// startStore starts the stand-in of the platform's store, with a configuration, and returns its address.
func startStore(t *testing.T, addr string) string {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = standin.Serve(ctx, l, configlog.NewMemory()) })
	t.Cleanup(func() { stop(); served.Wait() })
	if _, err := platform.NewLog(addr, startTimeout, peer.TCP{}.Dial).Append(ctx, platform.TopicOperator, configuration(t)); err != nil {
		t.Fatal(err)
	}
	return addr
}

// configuration returns the operator's record of the configuration, with the platform's limits.
func configuration(t *testing.T) []byte {
	record := counterpart.Config(1, host, []counterpart.Route{{Prefix: "/", Service: "catalogue", Safe: true}, {Prefix: "/order/", Service: "catalogue"}},
		[]string{"catalogue"}, 1000)
	head := 1 + int(record[0])
	var value map[string]any
	if err := json.Unmarshal(record[head:], &value); err != nil {
		t.Fatal(err)
	}
	value["limits"] = map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes,
		"header_timeout_s": headerTimeoutS, "idle_timeout_s": idleTimeoutS}
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(record[:head:head], text...)
}

// settings returns the content of the node's settings file.
func (n *node) settings(t *testing.T, store string) []byte {
	service := "catalogue"
	if n.name == "entry" {
		service = "front"
	}
	var value map[string]any
	text := counterpart.Settings{Name: n.name, IP: n.ip, Zone: "z", Service: service, Upstream: n.addr(counterpart.UpstreamPort), Store: store}.File()
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatal(err)
	}
	value["limits"] = map[string]any{"memory_mb": memoryMB, "max_fds": maxFDs}
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// start starts the process, and ends it with the test.
func (n *node) start(t *testing.T, store string) {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, n.settings(t, store), 0o600); err != nil {
		t.Fatal(err)
	}
	n.log = filepath.Join(dir, n.name+".log")
	log, err := os.Create(n.log)
	if err != nil {
		t.Fatal(err)
	}
	n.cmd = exec.Command(program, "--settings", file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	n.done = make(chan struct{})
	go func() { _ = n.cmd.Wait(); _ = log.Close(); close(n.done) }()
	t.Cleanup(func() { _ = n.cmd.Process.Kill(); <-n.done })
	go n.watchDescriptors()
}

func (n *node) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := n.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// watchDescriptors records the largest number of open descriptors until the process ends.
func (n *node) watchDescriptors() {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err == nil {
			n.peakFDs.Store(max(n.peakFDs.Load(), int64(len(entries))))
		}
		select {
		case <-n.done:
			return
		case <-tick.C:
		}
	}
}

// peakMemory returns the peak resident memory of the process in bytes.
func (n *node) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatalf("no peak memory in %q", status)
	return 0
}

// requireWithinLimits fails the test unless the process lives and has stayed within the limits of its settings.
func (n *node) requireWithinLimits(t *testing.T) {
	t.Helper()
	select {
	case <-n.done:
		log, _ := os.ReadFile(n.log)
		t.Fatalf("node %s has ended: %v\n%.4000s", n.name, n.cmd.ProcessState, log)
	default:
	}
	memory, fds := n.peakMemory(t), n.peakFDs.Load()
	t.Logf("node %s: peak memory %.1f MB of %d, peak descriptors %d of %d", n.name, float64(memory)/(1<<20), memoryMB, fds, maxFDs)
	if memory >= memoryMB<<20 {
		t.Errorf("node %s: peak memory %.1f MB, want less than %d", n.name, float64(memory)/(1<<20), memoryMB)
	}
	if fds >= maxFDs {
		t.Errorf("node %s: %d open descriptors, want less than %d", n.name, fds, maxFDs)
	}
}

// requireServed fails the test unless the node answers an ordinary request within startTimeout. Like an ordinary caller, it
// repeats a request that was refused.
func (m *mesh) requireServed(t *testing.T, n *node) {
	t.Helper()
	var last string
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		status, body, err := get(ctx, n, "/small")
		cancel()
		if err == nil && status == http.StatusOK && body == smallBody {
			return
		}
		last = fmt.Sprintf("status %d, %.100q, error %v", status, body, err)
		select { // the delay of a caller that repeats; the verdict does not depend on it
		case <-n.done:
			t.Fatalf("node %s has ended: %v", n.name, n.cmd.ProcessState)
		case <-time.After(50 * time.Millisecond):
		}
	}
	log, _ := os.ReadFile(n.log)
	t.Fatalf("node %s: an ordinary request is not served within %v; last: %s\n%.3000s", n.name, startTimeout, last, log)
}
