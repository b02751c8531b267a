package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"celerybank/internal/duration"
	"celerybank/internal/events"
	"celerybank/internal/membudget"
)

// Ping and Pong are the argument and the reply of a heartbeat.
type (
	Ping struct {
		// Hello asks for the identifier of the process.
		Hello bool `msgpack:"h,omitempty"`
		// Common is how many of commonStrings the sender reads; 0 if the build does not tell.
		Common int `msgpack:"c,omitempty"`
	}
	Pong struct {
		// Process identifies the process that answers; 0 if it was not asked for or the build does not tell.
		Process uint64 `msgpack:"p,omitempty"`
		// Common is as in Ping. It is told with Process.
		Common int `msgpack:"c,omitempty"`
	}
)

// pingMethod is the RPC method of a heartbeat.
const pingMethod = "Peer.Ping"

// Server serves the calls of other nodes.
type Server struct {
	rpc     *rpc.Server
	process uint64
	events  *events.Recorder
	traffic Traffic
	// memory bounds the frames that are read and the arguments of the calls in progress; nil sets no bound.
	memory *membudget.Budget
	meter  *Meter
	// calls tracks the calls in progress, for Drain.
	calls calls

	// notified has the handlers of notifications by method.
	notified map[string]func(decode func(any) error) error

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// closed is set when Serve ends; later connections are closed at once.
	closed bool
}

// NewServer returns a server that replies to heartbeats; Register adds services. traffic may be nil.
func NewServer(ev *events.Recorder, traffic Traffic) *Server {
	return &Server{rpc: rpc.NewServer(), process: rand.Uint64() | 1, events: ev, traffic: traffic, conns: map[net.Conn]struct{}{},
		notified: map[string]func(decode func(any) error) error{}}
}

// Process returns the identifier of this process, which is in the reply to each heartbeat. It is never 0.
func (s *Server) Process() uint64 { return s.process }

// Register publishes the methods of service under name, by the rules of rpc.Server.RegisterName.
func (s *Server) Register(name string, service any) error { return s.rpc.RegisterName(name, service) }

// SetMemory bounds the frames that are read, and the arguments of the calls in progress, on all connections together. Call it
// before Serve.
func (s *Server) SetMemory(m *membudget.Budget) { s.memory = m }

// SetMeter counts the frames written to peers. Call it before Serve.
func (s *Server) SetMeter(m *Meter) { s.meter = m }

// OnNotify sets the handler of a notification (Pool.Notify), which decodes the arguments. It runs on the goroutine that
// reads the connection. Call it before Serve. Peers that perform an RPC instead need a service of the same name.
func (s *Server) OnNotify(method string, handle func(decode func(any) error) error) {
	s.notified[method] = handle
}

// Serve accepts connections until ctx ends and serves each in its own goroutine.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.closeAll()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			duration.Sleep(ctx, acceptRetryDelay) // out of file descriptors, or the connection was reset already
			continue
		}
		if !s.track(c) {
			_ = c.Close()
			return nil
		}
		go s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	defer s.untrack(c)
	malformed := func(err error) {
		s.events.Emit(events.PeerFrameMalformed, events.Fields{"peer": c.RemoteAddr().String(), "reason": err.Error()})
	}
	frames := newCodec(idleConn{c}, s.events.Clock(), s.memory, s.traffic)
	frames.meter = s.meter.conn(c.RemoteAddr().String(), true)
	s.rpc.ServeCodec(serverCodec{codec: frames, onMalformed: malformed,
		calls: &s.calls, running: &callMemory{}, process: s.process, notified: s.notified})
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

// idleConn fails its reads when nothing arrives for serverIdleTimeout.
type idleConn struct{ net.Conn }

func (c idleConn) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(serverIdleTimeout))
	return c.Conn.Read(b)
}

// track registers a connection; it returns false if the server is closed.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	_ = c.Close()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}
