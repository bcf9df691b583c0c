// Package testaddr provides free addresses for the programs that tests start.
package testaddr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// The ports are below the range of ephemeral ports, so that outgoing connections do not
// take them.
const (
	firstPort = 15_000
	portCount = 15_000
)

var portsTaken atomic.Uint32

// host is a loopback address derived from the process's id, so that no other test process
// takes the ports that this one chose.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, 1+os.Getpid()/250%250)

// init makes the os package check early whether processes have handles. It does so once, by a
// fork without syscall.ForkLock, which Free relies on.
func init() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
}

// Free returns an address that nothing listens on. It returns each address only once.
func Free() (string, error) {
	// A process forked before Close would hold a copy of the listener, which accepts
	// connections until the process runs its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := Listen()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// Listen listens on an address that only this listener uses. Once it is closed, this
// process must not listen on the address again: a process that is being started may hold
// a copy of the listener's descriptor until its program runs.
func Listen() (net.Listener, error) {
	for range portCount {
		addr := fmt.Sprintf("%s:%d", host, firstPort+portsTaken.Add(1)%portCount)
		if ln, err := net.Listen("tcp4", addr); err == nil {
			return ln, nil
		}
	}
	return nil, errors.New("no free port")
}
