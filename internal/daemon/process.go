package daemon

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/observe"
)

const (
	// logLevel is the lowest level that is logged.
	logLevel = "info"
	// FlushTimeout bounds the sending of the last frames and answers at a stop.
	FlushTimeout = 5 * time.Second
)

// Process contains the parts that every daemon has: its identity, log, metrics, link
// node and admin server.
type Process struct {
	// Identity identifies this start of the process.
	Identity message.Identity
	// Logger writes one line for each event to standard error.
	Logger *log.Logger
	// Metrics are served by the admin server.
	Metrics *observe.Metrics
	// Node manages the links; it is nil until OpenLinks.
	Node *link.Node

	admin *observe.Admin
}

// NewProcess starts the log and metrics of a process with identity id and a new
// incarnation.
func NewProcess(id message.Identity) *Process {
	id.Incarnation = newIncarnation()
	program := "gentiantrail-" + id.Role.String()
	tags := map[string]string{"instance": id.Name, "availability_zone": id.AvailabilityZone}
	logger := observe.NewLogger(os.Stderr, logLevel, program, id.Name)
	return &Process{Identity: id, Logger: logger, Metrics: observe.NewMetrics(tags, logger)}
}

// Dial keeps a link to addr alive; it ignores the process's own address.
func (p *Process) Dial(addr string) {
	if addr != p.Identity.Address {
		p.Node.Dial(addr)
	}
}

// StopDialling stops dialling addr.
func (p *Process) StopDialling(addr string) { p.Node.StopDialling(addr) }

// OpenLinks creates the link node and, if listen is not empty, accepts links there.
func (p *Process) OpenLinks(key, listen string, h link.Handler) error {
	node, err := link.New(link.Config{Identity: p.Identity, Key: []byte(key), Logger: p.Logger}, h)
	if err != nil {
		return err
	}
	p.Node = node
	if listen == "" {
		return nil
	}
	return node.Listen(listen)
}

// OpenAdmin starts the admin server.
func (p *Process) OpenAdmin(addr string, ready func() error, state func() any) error {
	p.admin = observe.NewAdmin(observe.AdminConfig{
		Ready: ready, State: state, Metrics: p.Metrics, Profiling: true, Logger: p.Logger,
	})
	return p.admin.Listen(addr)
}

// Close sends the queued frames and closes the links, the admin server and the metrics.
func (p *Process) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), FlushTimeout)
	defer cancel()
	err := p.Node.Close(ctx)
	_ = p.admin.Close(ctx)
	_ = p.Metrics.Close()
	p.Logger.Info().Str("event", "stopped").Msg("")
	return err
}
