package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"celerybank/platform/counterpart"
)

// Ports of the proxies at a host's IP.
const (
	callersProxyPort  = 9300
	upstreamProxyPort = 9301
	storeProxyPort    = 9309
	// nodes listen for peers here; a proxy stands at the address that peers connect to.
	peersBehindProxyPort = 9302
)

// host is one node, a process of its own, with its upstream and the proxies around it.
type host struct {
	name, ip, zone, service string
	// version is that of the upstream's software; bad ones fail a part of their requests.
	version string
	bad     bool
	// peersProxied hosts are reached by their peers through a proxy.
	peersProxied bool
	program, dir string

	callers, upstreams, store, peers *proxy
	up                               *upstream
	starts                           int
	// changing is held while the upstream is replaced, restarting while the node is.
	changing, restarting sync.Mutex

	mu   sync.Mutex
	node *process
}

func (h *host) at(port int) string { return h.ip + ":" + strconv.Itoa(port) }

// prepare opens the proxies and writes the settings file.
func (h *host) prepare(store string) error {
	type place struct {
		to     **proxy
		at     int
		target string
	}
	places := []place{{&h.callers, callersProxyPort, h.at(counterpart.CallersPort)}, {&h.upstreams, upstreamProxyPort, h.at(counterpart.UpstreamPort)},
		{&h.store, storeProxyPort, store}}
	if h.peersProxied {
		places = append(places, place{&h.peers, counterpart.PeersPort, h.at(peersBehindProxyPort)})
	}
	for _, p := range places {
		x, err := newProxy(h.at(p.at), p.target)
		if err != nil {
			return err
		}
		*p.to = x
	}
	s := counterpart.Settings{Name: h.name, IP: h.ip, Zone: h.zone, Service: h.service, Upstream: h.at(upstreamProxyPort), Store: h.at(storeProxyPort)}
	return os.WriteFile(h.settings(), s.File(), 0o600)
}

func (h *host) settings() string { return filepath.Join(h.dir, h.name+".json") }

// start runs the node.
func (h *host) start() error {
	args := []string{"--settings", h.settings()}
	if h.peersProxied {
		args = append(args, "--bind-peers", h.at(peersBehindProxyPort))
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

// process returns the node that runs now or ran last.
func (h *host) process() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node
}

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

// process is one that the soak has started; it is only ever signalled by its id.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	// code is how it ended, once done is closed.
	code int
}

// startProcess runs a program with its output appended to a file.
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
		_ = cmd.Wait() // the code says it
		p.code = cmd.ProcessState.ExitCode()
		_ = f.Close()
		close(p.done)
	}()
	return p, nil
}

// signal does nothing to a process that has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // it may end right now
	}
}

// wait reports whether the process ends within d.
func (p *process) wait(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}
