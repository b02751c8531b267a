package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"celerybank/platform/counterpart"
)

// Ports of the proxies on the IP of a host.
const (
	callersProxyPort  = 9300
	upstreamProxyPort = 9301
	storeProxyPort    = 9309
	// nodePeersPort is where a node listens for peers if a proxy has the port that peers connect to.
	nodePeersPort = 9302
)

// host has a node, which is a separate process, its upstream, and the proxies on their connections.
type host struct {
	name, ip, zone, service string
	// version is the upstream's version; the upstream of a bad one fails some of its requests.
	version string
	bad     bool
	// peersProxied is true if peers connect to the node through a proxy.
	peersProxied bool
	program, dir string

	callers, upstreams, store, peers *proxy
	up                               *upstream
	upstreamStarts                   int
	// malformed is set while the upstream writes malformed responses.
	malformed atomic.Bool
	// replacing is held while the upstream is replaced, restarting while the node is restarted.
	replacing, restarting sync.Mutex

	mu   sync.Mutex
	node *process
}

func (h *host) addr(port int) string { return h.ip + ":" + strconv.Itoa(port) }

// prepare opens the proxies and writes the settings file. store is the address of the store; with failClosed the node refuses
// requests that need a key while its configuration is not confirmed.
func (h *host) prepare(store string, failClosed bool) error {
	type spec struct {
		dst    **proxy
		port   int
		target string
	}
	specs := []spec{{&h.callers, callersProxyPort, h.addr(counterpart.CallersPort)}, {&h.upstreams, upstreamProxyPort, h.addr(counterpart.UpstreamPort)},
		{&h.store, storeProxyPort, store}}
	if h.peersProxied {
		specs = append(specs, spec{&h.peers, counterpart.PeersPort, h.addr(nodePeersPort)})
	}
	for _, s := range specs {
		p, err := newProxy(h.addr(s.port), s.target)
		if err != nil {
			return err
		}
		*s.dst = p
	}
	settings := counterpart.Settings{Name: h.name, IP: h.ip, Zone: h.zone, Service: h.service, Upstream: h.addr(upstreamProxyPort), Store: h.addr(storeProxyPort), Bounds: []string{"fail_closed=" + strconv.FormatBool(failClosed)}}
	return os.WriteFile(h.settingsFile(), settings.File(), 0o600)
}

func (h *host) settingsFile() string { return filepath.Join(h.dir, h.name+".json") }

// start starts the node.
func (h *host) start() error {
	args := []string{"--settings", h.settingsFile()}
	if h.peersProxied {
		args = append(args, "--bind-peers", h.addr(nodePeersPort))
	}
	p, err := startProcess(filepath.Join(h.dir, h.name+".log"), h.program, args...)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = p
	return nil
}

// process returns the node that is running or ran last, or nil if none was started.
func (h *host) process() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node
}

// close kills the node, stops the upstream and closes the proxies.
func (h *host) close() {
	if p := h.process(); p != nil {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if h.up != nil {
		h.up.crash()
	}
	for _, p := range []*proxy{h.callers, h.upstreams, h.store, h.peers} {
		if p != nil {
			p.close()
		}
	}
}

// process is a process that the soak test started. It is signalled by its process ID only.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	// exitCode is valid once done is closed.
	exitCode int
}

// startProcess starts a program and appends its output to the file log.
func startProcess(log, program string, args ...string) (*process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = f.Close()
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // exitCode has the result
		p.exitCode = cmd.ProcessState.ExitCode()
		_ = f.Close()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal. It does nothing if the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // fails if the process has just ended
	}
}

// wait reports whether the process ended within d.
func (p *process) wait(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}
