//go:build scenario

package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	garbageConnections = 200
	garbageSize        = 1 << 20 // bytes per connection
	garbageSeed        = 7
	garbageTimeout     = 5 * time.Second
)

// cmdGarbage sends malformed input to both ports of an entry, over garbageConnections
// concurrent connections to each, which stay open until the script ends: garbage ENTRY
func (c *cluster) cmdGarbage(args []string) (string, error) {
	if len(args) != 1 {
		return "", errors.New("usage: garbage ENTRY")
	}
	p, err := c.process(args[0])
	if err != nil {
		return "", err
	}
	random := rand.New(rand.NewPCG(garbageSeed, garbageSeed))
	noise := make([]byte, garbageSize)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	inputs := [][]byte{
		noise,
		bytes.Repeat([]byte("a"), garbageSize),
		[]byte("GET / HTT"),
		[]byte("POST /permits/permits HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"),
		append([]byte("GET / HTTP/1.1\r\nX: "), bytes.Repeat([]byte("b"), garbageSize)...),
		append([]byte("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff"), noise...),
	}
	for i := range garbageConnections {
		for _, addr := range []string{p.serviceAddr, p.linkAddr} {
			input := inputs[i%len(inputs)]
			c.wg.Go(func() { c.sendAndHold(addr, input) })
		}
	}
	return "", nil
}

// sendAndHold sends input and keeps the connection open until the script ends.
func (c *cluster) sendAndHold(addr string, input []byte) {
	conn, err := net.DialTimeout("tcp", addr, garbageTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(garbageTimeout))
	_, _ = conn.Write(input)
	<-c.closing
}

// cmdMemory requires that the resident memory of a process is at most MIB mebibytes:
// memory NAME MIB
func (c *cluster) cmdMemory(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("usage: memory NAME MIB")
	}
	p, err := c.process(args[0])
	if err != nil {
		return "", err
	}
	limit, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return "", err
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kib int
	if _, err := fmt.Sscan(rest, &kib); err != nil {
		return "", err
	}
	if kib > limit<<10 {
		return "", fmt.Errorf("%s uses %d MiB, want at most %d MiB", p.name, kib>>10, limit)
	}
	return fmt.Sprintf("%s uses %d MiB", p.name, kib>>10), nil
}
