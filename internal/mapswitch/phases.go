package mapswitch

// prepare orders every rank to copy the new version, and starts the hold once all have.
func (c *Coordinator) prepare(states []State) []Command {
	var commands []Command
	ready := 0
	for r, s := range states {
		switch {
		case s.Prepared == c.version && s.Digest == c.digests[r]:
			ready++
		case s.Prepared >= c.version || s.ArmedVersion != 0:
			c.phase = Idle // another version was prepared or armed; no rank is armed with this one
			return nil
		case !c.prepareAnswered[r]:
			commands = append(commands, c.newCommand(r, Order{Op: Prepare, Version: c.version, Map: c.newMap}))
		}
	}
	if ready < len(states) {
		return commands
	}
	c.phase = Holding
	c.holder, c.holdPass = c.rank, NoPass
	return c.hold(states)
}

// hold orders the coordinator's own rank to keep the group from beginning a later pass.
func (c *Coordinator) hold(states []State) []Command {
	own := states[c.rank]
	if own.HeldPass == c.holdPass && c.holdPass != NoPass {
		c.phase = Arming
		return c.arm(states)
	}
	if c.holdPass == NoPass || c.holdPass < own.Pass+minHoldLead {
		c.holdPass = max(own.Pass+c.holdLead(), c.lastHoldPass+1)
		c.lastHoldPass = c.holdPass
	}
	return []Command{c.newCommand(c.rank, Order{Op: Hold, Pass: c.holdPass})}
}

// holdLead returns the number of passes from the newest one to the one that is held.
func (c *Coordinator) holdLead() int64 {
	if c.prepareUnanswered {
		return lateHoldLead
	}
	return holdLead
}

// arm orders every rank to switch at the held pass, and starts the release once all are
// armed.
func (c *Coordinator) arm(states []State) []Command {
	if states[c.rank].HeldPass != c.holdPass {
		// The hold has ended although no go order was sent: no rank may stay armed.
		c.startSettling(c.rank, c.holdPass)
		return nil
	}
	var commands []Command
	for r, s := range states {
		switch {
		case s.ArmedVersion == c.version && s.ArmedPass == c.holdPass:
		case s.ArmedVersion != 0 || s.Prepared != c.version || s.Digest != c.digests[r]:
			c.startSettling(c.rank, c.holdPass)
			return nil
		default:
			commands = append(commands, c.newCommand(r, Order{Op: Arm, Version: c.version, Pass: c.holdPass}))
		}
	}
	if len(commands) > 0 {
		return commands
	}
	c.phase = Releasing
	return c.release(states)
}

// release orders the holding rank to end the hold.
func (c *Coordinator) release(states []State) []Command {
	if states[c.holder].HeldPass == c.holdPass {
		return []Command{c.newCommand(c.holder, Order{Op: Go, Pass: c.holdPass})}
	}
	if c.pass >= c.holdPass {
		c.phase = Idle
	}
	return nil
}

// startSettling begins to disarm the ranks that may be armed for a pass that a rank holds. No order of
// the same round may follow: a rank's state may have been read long before the hold was found, and then
// does not show whether the rank rejects arm orders of the change that is settled.
func (c *Coordinator) startSettling(holder int, pass int64) {
	c.phase = Settling
	c.holder, c.holdPass = holder, pass
	c.lastHoldPass = max(c.lastHoldPass, pass)
	c.fenceVersion = 0 // chosen above the versions that the next states show
	clear(c.fenced)
}

// raiseFence sets fenceVersion above every version observed or issued.
func (c *Coordinator) raiseFence() {
	c.fenceVersion = c.nextVersion(true)
	c.highestVersion = c.fenceVersion
}

// continueSettling ends a hold whose change can't go on, or whose owner no longer runs. If
// every rank is armed with the same version, an earlier process may already have sent the
// go order, so the change is released. Otherwise the ranks that are not armed first prepare
// a higher version, so that they reject late arm orders. Only then are the other ranks
// disarmed, so that a disarm order is never in transit while all ranks are armed.
func (c *Coordinator) continueSettling(states []State) []Command {
	if c.fenceVersion == 0 {
		c.raiseFence()
	}
	if version := commonArmedVersion(states, c.holdPass); version != 0 {
		c.version, c.phase = version, Releasing
		return c.release(states)
	}
	if commands := c.fenceUnarmed(states); len(commands) > 0 {
		return commands
	}
	var commands []Command
	for r, s := range states {
		if c.armedByHolder(s) {
			commands = append(commands, c.newCommand(r, Order{Op: Disarm, Version: s.ArmedVersion}))
		}
	}
	if len(commands) > 0 {
		return commands
	}
	if states[c.holder].HeldPass == c.holdPass {
		return []Command{c.newCommand(c.holder, Order{Op: Go, Pass: c.holdPass})}
	}
	c.phase = Idle
	return nil
}

// commonArmedVersion returns the version with which every rank is armed for the pass, or
// zero.
func commonArmedVersion(states []State, pass int64) int64 {
	version := states[0].ArmedVersion
	for _, s := range states {
		if s.ArmedVersion != version || s.ArmedPass != pass {
			return 0
		}
	}
	return version
}

// fenceUnarmed orders the ranks that are not armed to prepare fenceVersion. A rank that is armed by
// the coordinator of any other rank than the holder has that coordinator's version prepared, and so
// rejects arm orders of the settled change.
func (c *Coordinator) fenceUnarmed(states []State) []Command {
	var commands []Command
	for r, s := range states {
		switch {
		case s.ArmedVersion != 0:
			c.fenced[r] = c.fenced[r] || !c.armedByHolder(s)
		case s.Prepared >= c.fenceVersion:
			c.fenced[r] = true
		case !c.fenced[r]:
			commands = append(commands, c.newCommand(r, Order{Op: Prepare, Version: c.fenceVersion}))
		}
	}
	return commands
}
