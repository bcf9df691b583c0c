package link

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// drainPollInterval is the interval at which Close checks whether all output has been sent.
	drainPollInterval = 5 * time.Millisecond
	// engineStopTimeout bounds the end of the event loops, which wait for nothing.
	engineStopTimeout = time.Second
)

// Node accepts and dials the links of one process.
type Node struct {
	closeOnce sync.Once
	closeErr  error

	cfg     Config
	handler Handler
	client  *gnet.Client
	stats   counters

	ctx    context.Context // ends when Close begins
	cancel context.CancelFunc
	wg     sync.WaitGroup // dialling and keepalive goroutines

	mu           sync.Mutex
	links        map[*link]struct{}            // open connections; guarded by mu
	pending      int                           // accepted, not yet authenticated; guarded by mu
	dials        map[string]context.CancelFunc // cancel functions by dialled address; guarded by mu
	server       gnet.Engine                   // guarded by mu
	serverResult chan error                    // result of server, nil before Listen; guarded by mu
	addr         string                        // bound address; guarded by mu
}

type counters struct {
	framesIn, bytesIn, bytesOut atomic.Uint64
}

// Stats contains totals over all links of a Node since its start.
type Stats struct {
	FramesIn uint64 `json:"frames_in"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Info describes one authenticated link for diagnostics.
type Info struct {
	Peer    message.Identity `json:"peer"`
	Dialled bool             `json:"dialled"`
	Remote  string           `json:"remote"`
	Queued  int              `json:"queued_bytes"`
}

// New returns a Node. It can dial links at once and accepts links after Listen.
func New(cfg Config, h Handler) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, handler: h, links: map[*link]struct{}{}, dials: map[string]context.CancelFunc{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.client, err = gnet.NewClient(&eventHandler{node: n}, gnet.WithOptions(n.engineOptions()))
	if err != nil {
		return nil, &Error{Reason: ReasonConfig, Detail: "cannot start the dialling engine", Cause: err}
	}
	if err := n.client.Start(); err != nil {
		return nil, &Error{Reason: ReasonConfig, Detail: "cannot start the dialling engine", Cause: err}
	}
	n.wg.Go(n.keepalive)
	return n, nil
}

func (n *Node) engineOptions() gnet.Options {
	return gnet.Options{
		NumEventLoop: n.cfg.EventLoops,
		// A restarted process can bind its port while old connections are in TIME_WAIT.
		ReuseAddr: true,
		Logger:    engineLogger{n.cfg.Logger},
		LogLevel:  logging.ErrorLevel,
	}
}

// Listen accepts links on addr, an IP address and port; port 0 picks a free one.
func (n *Node) Listen(addr string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serverResult != nil || n.ctx.Err() != nil {
		return &Error{Reason: ReasonConfig, Detail: "the node is already listening or closed"}
	}
	ev := &eventHandler{node: n, boot: make(chan gnet.Engine, 1)}
	serverResult := make(chan error, 1)
	go func() { serverResult <- gnet.Run(ev, "tcp://"+addr, gnet.WithOptions(n.engineOptions())) }()
	select {
	case err := <-serverResult:
		return &Error{Reason: ReasonConfig, Detail: "cannot listen on " + addr, Cause: err}
	case n.server = <-ev.boot:
	}
	n.serverResult = serverResult
	var err error
	n.addr, err = boundAddr(n.server)
	return err
}

// boundAddr returns the address of eng's listener.
func boundAddr(eng gnet.Engine) (string, error) {
	fd, err := eng.Dup()
	if err != nil {
		return "", &Error{Reason: ReasonConfig, Detail: "cannot determine the listener's address", Cause: err}
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	ln, err := net.FileListener(file)
	if err != nil {
		return "", &Error{Reason: ReasonConfig, Detail: "cannot determine the listener's address", Cause: err}
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// Addr returns the address that Listen bound, or the empty string.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addr
}

// Stats returns the totals over all links.
func (n *Node) Stats() Stats {
	return Stats{
		FramesIn: n.stats.framesIn.Load(),
		BytesIn:  n.stats.bytesIn.Load(),
		BytesOut: n.stats.bytesOut.Load(),
	}
}

// Links returns the authenticated links in no particular order.
func (n *Node) Links() []Info {
	var infos []Info
	for _, l := range n.snapshot() {
		if l.authenticated.Load() {
			infos = append(infos, Info{Peer: l.identity, Dialled: l.dialled, Remote: l.addr, Queued: l.Queued()})
		}
	}
	return infos
}

// Close stops dialling, sends the queued output and waits until the peers have read it or
// ctx ends, and closes all links. Handler.Down is called for each. Further calls return the
// result of the first.
func (n *Node) Close(ctx context.Context) error {
	n.closeOnce.Do(func() { n.closeErr = n.close(ctx) })
	return n.closeErr
}

func (n *Node) close(ctx context.Context) error {
	n.cancel()
	n.wg.Wait()
	n.drain(ctx)
	n.finish(ctx)
	err := n.client.Stop()
	n.mu.Lock()
	server, serverResult := n.server, n.serverResult
	n.mu.Unlock()
	if serverResult == nil {
		return err
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), engineStopTimeout)
	defer cancel()
	if stopErr := server.Stop(stopCtx); stopErr != nil {
		return stopErr
	}
	return <-serverResult
}

// drain waits until all links have sent their output or ctx ends.
func (n *Node) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for n.hasUnsent() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) hasUnsent() bool {
	for _, l := range n.snapshot() {
		if l.authenticated.Load() && !l.closed.Load() && l.Queued() > 0 {
			l.refreshBuffered()
			return true
		}
	}
	return false
}

// finish ends the output of all links and waits until the peers have closed them, which
// they do when they have read everything, or until ctx ends. A connection that is closed
// while the peer still sends is reset, and what the peer has not read is lost.
func (n *Node) finish(ctx context.Context) {
	links := n.snapshot()
	for _, l := range links {
		l.closed.Store(true)
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for slices.ContainsFunc(links, (*link).isOpen) {
		for _, l := range links {
			l.finishOutput()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// add registers an open connection. It returns false if more than MaxPending accepted
// connections have not completed the handshake.
func (n *Node) add(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	if l.dialled {
		return true
	}
	n.pending++
	return n.pending <= n.cfg.MaxPending
}

func (n *Node) remove(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
	if !l.dialled && !l.authenticated.Load() {
		n.pending--
	}
}

// markAuthenticated marks l as authenticated and reports it to the Handler.
func (n *Node) markAuthenticated(l *link) {
	n.mu.Lock()
	l.authenticated.Store(true)
	if !l.dialled {
		n.pending--
	}
	n.mu.Unlock()
	n.logUp(l)
	n.handler.Up(l)
}

func (n *Node) snapshot() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*link, 0, len(n.links))
	for l := range n.links {
		all = append(all, l)
	}
	return all
}
