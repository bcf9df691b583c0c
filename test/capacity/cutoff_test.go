package capacity

import (
	"fmt"
	"testing"
)

// TestCutOff measures an entry whose configured peers are unreachable. Nothing listens at
// their addresses, so that connections are refused and each attempt is followed by the
// longest pause only.
func TestCutOff(t *testing.T) {
	if !*slopes {
		t.Skip("measures with -slopes")
	}
	var samples []sample
	for _, n := range []int{0, 10, 20, 40} {
		t.Run(fmt.Sprintf("%d-unreachable", n), func(t *testing.T) {
			p := startPlatform(t)
			text := fmt.Sprintf("name: zone-0-entry-99\navailability_zone: %s\nlisten: %s\nlink_address: %s\nplatform_address: %s\n",
				localZone, freeAddr(t), freeAddr(t), p.addr)
			if n > 0 {
				text += "peers:\n"
			}
			for range n {
				text += "- " + freeAddr(t) + "\n"
			}
			samples = append(samples, measure(startDaemon(t, "gentiantrail-entry", text), p, nil, n))
		})
	}
	printReport("entry, over known entries that it cannot reach", samples)
}
