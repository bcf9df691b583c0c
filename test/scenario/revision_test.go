//go:build scenario

package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

// cmdRevision waits until every running entry and agent, or those of the named
// availability zones, has a configuration revision in force: revision N [ZONE…]
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
	began := time.Now()
	for _, zone := range zones {
		for _, p := range append(c.ofKind(kindEntry, zone), c.ofKind(kindAgent, zone)...) {
			if err := until(func() error { return p.hasRevision(want) }); err != nil {
				return "", err
			}
		}
	}
	return fmt.Sprintf("revision %d in force after %v", want, time.Since(began).Round(time.Millisecond)), nil
}

// hasRevision fails unless the process has the revision in force.
func (p *process) hasRevision(want uint64) error {
	var state struct {
		ConfigRevision uint64 `json:"config_revision"`
	}
	if err := fetch(p.admin, "/debug/state", &state); err != nil {
		return err
	}
	if state.ConfigRevision != want {
		return fmt.Errorf("%s has revision %d, want %d", p.name, state.ConfigRevision, want)
	}
	return nil
}
