package gateway

import "golang.org/x/sys/unix"

// end makes the server refuse the requests that still arrive.
func (s *server) end() {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.ending = true
}

// endIfIdle does the same if no request is in flight or partly read and no response is on its way, and reports
// whether that is so.
func (s *server) endIfIdle() bool {
	s.gate.Lock()
	defer s.gate.Unlock()
	s.ending = s.ending || s.g.nothingRead()
	return s.ending
}

// unfinished returns the number of connections on which a part of a request has been read, or whose callers have
// not got all of the last response.
func (s *server) unfinished() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for cc := range s.conns {
		if w := cc.waiting.Load(); w != nil && (w.partial || w.lingering && w.sent == nil || cc.unacknowledged() > 0) {
			n++
		}
	}
	return n
}

// quiet reports whether nothing that callers have sent is left unread and no refusal is on its way.
func (s *server) quiet() bool {
	if s.unfinished() > 0 || s.waitingToBeAccepted() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for cc := range s.conns {
		if cc.unread() {
			return false
		}
	}
	return true
}

// waitingToBeAccepted reports whether the event loop has connections to accept. Closing the listener resets them.
func (s *server) waitingToBeAccepted() bool {
	select {
	case <-s.booted:
	default:
		return false
	}
	fd, err := s.engine.Dup()
	if err != nil {
		return false // the listener is closed
	}
	defer func() { _ = unix.Close(fd) }()
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.Unacked > 0 // the length of a listener's queue
}
