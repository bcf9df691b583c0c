//go:build scenario

package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// cmdRevision waits until all entries and agents, or those of the named availability
// zones, have configuration revision N in force: revision N [ZONE…]
func (c *cluster) cmdRevision(args []string) (string, error) {
	if len(args) == 0 {
		return "", errors.New("usage: revision N [ZONE…]")
	}
	want, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return "", err
	}
	zones := args[1:]
	if len(zones) == 0 {
		zones = []string{""}
	}
	start := time.Now()
	for _, zone := range zones {
		for _, p := range append(c.ofKind(kindEntry, zone), c.ofKind(kindAgent, zone)...) {
			if err := waitUntil(func() error { return p.checkRevision(want) }); err != nil {
				return "", err
			}
		}
	}
	return fmt.Sprintf("revision %d in force after %v", want, time.Since(start).Round(time.Millisecond)), nil
}

// checkRevision returns an error unless the process has revision want in force.
func (p *process) checkRevision(want uint64) error {
	var state struct {
		ConfigRevision uint64 `json:"config_revision"`
	}
	if err := fetchJSON(p.adminAddr, "/debug/state", &state); err != nil {
		return err
	}
	if state.ConfigRevision != want {
		return fmt.Errorf("%s has revision %d in force, want %d", p.name, state.ConfigRevision, want)
	}
	return nil
}
