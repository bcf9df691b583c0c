// Package testaddr gives tests addresses for the programs that they start.
package testaddr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken below the range from which outgoing connections get theirs.
const (
	firstPort = 15_000
	portCount = 15_000
)

var portsTaken atomic.Uint32

// host is a loopback address of this process alone, so that no other process takes
// the ports that it chose.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, 1+os.Getpid()/250%250)

// Free returns an address that nothing listens on. It is handed out once.
func Free() (string, error) {
	ln, err := Listen()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// Listen listens on an address of its own. Once closed, the address must not be
// listened on here again: a process that is being started may hold a copy of the
// listener until its program runs.
func Listen() (net.Listener, error) {
	for range portCount {
		addr := fmt.Sprintf("%s:%d", host, firstPort+portsTaken.Add(1)%portCount)
		if ln, err := net.Listen("tcp4", addr); err == nil {
			return ln, nil
		}
	}
	return nil, errors.New("no free port")
}
