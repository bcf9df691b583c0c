package mapswitch

// prepare has every rank copy the new version, and then asks for the hold.
func (c *Coordinator) prepare(states []State) []Command {
	var commands []Command
	ready := 0
	for r, s := range states {
		switch {
		case s.Prepared == c.version && s.Digest == c.digests[r]:
			ready++
		case s.Prepared >= c.version || s.ArmedVersion != 0:
			c.phase = Idle // another version came between; nothing of this one is armed
			return nil
		case !c.answered[r]:
			commands = append(commands, c.order(r, Order{Op: Prepare, Version: c.version, Map: c.rows}))
		}
	}
	if ready < len(states) {
		return commands
	}
	c.phase = Holding
	c.pass = NoPass
	return c.hold(states)
}

// hold asks the own rank to keep the group from beginning a pass that is still ahead.
func (c *Coordinator) hold(states []State) []Command {
	own := states[c.rank]
	if own.Held == c.pass && c.pass != NoPass {
		c.phase = Arming
		return c.arm(states)
	}
	if c.pass == NoPass || c.pass < own.Pass+minLead {
		c.pass = max(own.Pass+lead, c.lastPass+1)
		c.lastPass = c.pass
	}
	return []Command{c.order(c.rank, Order{Op: Hold, Pass: c.pass})}
}

// arm has every rank switch at the held pass, and releases the hold once all will.
func (c *Coordinator) arm(states []State) []Command {
	if states[c.rank].Held != c.pass {
		// The hold is gone although no go was sent: what is armed must not stay.
		c.settle(c.pass)
		return c.settling(states)
	}
	var commands []Command
	for r, s := range states {
		switch {
		case s.ArmedVersion == c.version && s.ArmedPass == c.pass:
		case s.ArmedVersion != 0 || s.Prepared != c.version || s.Digest != c.digests[r]:
			c.settle(c.pass)
			return c.settling(states)
		default:
			commands = append(commands, c.order(r, Order{Op: Arm, Version: c.version, Pass: c.pass}))
		}
	}
	if len(commands) > 0 {
		return commands
	}
	c.phase = Releasing
	return c.release(states)
}

// release ends the hold.
func (c *Coordinator) release(states []State) []Command {
	own := states[c.rank]
	if own.Held == c.pass {
		return []Command{c.order(c.rank, Order{Op: Go, Pass: c.pass})}
	}
	if own.Pass >= c.pass {
		c.phase, c.known = Idle, true
	}
	return nil
}

// settle begins to undo what may be armed for a held pass.
func (c *Coordinator) settle(pass int64) {
	c.phase = Settling
	c.pass = pass
	c.lastPass = max(c.lastPass, pass)
	c.fence = c.nextVersion()
	clear(c.fenced)
}

// settling ends a hold whose change can't go on, or whose owner is gone. If every rank
// is armed alike, an earlier process may have sent the go already: the change is
// released. Otherwise the ranks that are not armed are made to refuse late arms first,
// by preparing a higher version. Only then the others are disarmed, so that a disarm
// is never under way while all ranks are armed.
func (c *Coordinator) settling(states []State) []Command {
	if version := armedAlike(states, c.pass); version != 0 {
		c.version, c.phase = version, Releasing
		return c.release(states)
	}
	if commands := c.fenceUnarmed(states); len(commands) > 0 {
		return commands
	}
	var commands []Command
	for r, s := range states {
		if c.armedByUs(s) {
			commands = append(commands, c.order(r, Order{Op: Disarm, Version: s.ArmedVersion}))
		}
	}
	if len(commands) > 0 {
		return commands
	}
	if states[c.rank].Held == c.pass {
		return []Command{c.order(c.rank, Order{Op: Go, Pass: c.pass})}
	}
	c.phase = Idle
	return nil
}

// armedAlike returns the version that every rank is armed with for the pass, or zero.
func armedAlike(states []State, pass int64) int64 {
	version := states[0].ArmedVersion
	for _, s := range states {
		if s.ArmedVersion != version || s.ArmedPass != pass {
			return 0
		}
	}
	return version
}

// fenceUnarmed has the ranks that are not armed prepare a higher version. A rank that
// another coordinator has armed has that version prepared, and so refuses ours.
func (c *Coordinator) fenceUnarmed(states []State) []Command {
	var commands []Command
	for r, s := range states {
		switch {
		case s.ArmedVersion != 0:
			c.fenced[r] = c.fenced[r] || !c.armedByUs(s)
		case s.Prepared >= c.fence:
			c.fenced[r] = true
		case !c.fenced[r]:
			commands = append(commands, c.order(r, Order{Op: Prepare, Version: c.fence, Map: c.inForce}))
		}
	}
	return commands
}
