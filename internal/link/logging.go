package link

import (
	"fmt"

	"github.com/phuslu/log"
)

func (n *Node) logUp(l *link) {
	n.cfg.Logger.Info().Str("event", "link_up").Str("peer", l.identity.Name).
		Stringer("role", l.identity.Role).Str("availability_zone", l.identity.AvailabilityZone).
		Uint64("incarnation", l.identity.Incarnation).Str("remote", l.addr).Bool("dialled", l.dialled).Msg("")
}

func (n *Node) logDown(l *link, cause error) {
	entry := n.cfg.Logger.Info()
	if !l.authenticated.Load() {
		entry = n.cfg.Logger.Warn()
	}
	entry.Str("event", "link_down").Str("peer", l.identity.Name).Str("remote", l.addr).
		Bool("dialled", l.dialled).Bool("authenticated", l.authenticated.Load()).Err(cause).Msg("")
}

func (n *Node) logDialFailed(addr string, err error) {
	n.cfg.Logger.Debug().Str("event", "link_dial_failed").Str("remote", addr).Err(err).Msg("")
}

// engineLogger forwards gnet's warnings and errors to the Node's log.
type engineLogger struct{ log *log.Logger }

// Debugf implements logging.Logger.
func (engineLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (engineLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (e engineLogger) Warnf(format string, args ...any) { e.print(e.log.Warn(), format, args) }

// Errorf implements logging.Logger.
func (e engineLogger) Errorf(format string, args ...any) { e.print(e.log.Error(), format, args) }

// Fatalf implements logging.Logger. It does not end the process.
func (e engineLogger) Fatalf(format string, args ...any) { e.print(e.log.Error(), format, args) }

func (engineLogger) print(entry *log.Entry, format string, args []any) {
	entry.Str("event", "gnet").Str("detail", fmt.Sprintf(format, args...)).Msg("")
}
