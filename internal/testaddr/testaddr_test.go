package testaddr

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a free address that accepts connections while a process is being started:
// the wait for a program that is to listen there ended before the program did.
func TestFreeAddressRefusesConnectionsWhileProcessesStart(t *testing.T) {
	const (
		starters  = 4
		addresses = 2000
	)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					assert.Check(t, exec.Command(os.Args[0], "-test.run=^$").Run())
				}
			}
		})
	}
	accepted := 0
	for range addresses {
		addr, err := Free()
		assert.NilError(t, err)
		if c, err := net.Dial("tcp", addr); err == nil {
			assert.NilError(t, c.Close())
			accepted++
		}
	}
	close(stop)
	wg.Wait()
	assert.Equal(t, accepted, 0, "of %d free addresses", addresses)
}
