package config

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Event is something that a Follower learns.
type Event interface{ isEvent() }

// The events of a Follower.
type (
	// Tick tells that time has passed; one is due every tickInterval.
	Tick struct{}
	// PeerUp tells of a new link to an entry or agent.
	PeerUp struct{ Peer string }
	// PeerDown tells that the last link to a peer has ended.
	PeerDown struct{ Peer string }
	// LiveEntries names the live entries of the process's own availability zone, as
	// far as the process knows; its own name need not be among them.
	LiveEntries struct{ Names []string }
	// PeerRevision is the revision that a peer's heartbeat names.
	PeerRevision struct {
		Peer     string
		Revision uint64
	}
	// PeerHead is a ConfigHead message.
	PeerHead struct {
		Peer string
		Head []byte
	}
	// PeerFetch is a ConfigFetch message.
	PeerFetch struct {
		Peer    string
		Digests []string
	}
	// PeerFiles is a ConfigFiles message.
	PeerFiles struct {
		Peer  string
		Files []message.ConfigFile
	}
	// HeadRead is the answer to ReadHead.
	HeadRead struct {
		// Value is the encoded head, nil if there is none.
		Value []byte
		// Revision is the store's revision to watch from.
		Revision uint64
		Err      error
	}
	// FilesRead is the answer to ReadFiles.
	FilesRead struct {
		Files []File
		Err   error
	}
	// WatchEnded is the answer to WatchHead.
	WatchEnded struct {
		// Value is the newest head that the watch reported, nil if none.
		Value []byte
		// Revision is the store's revision to watch from next.
		Revision uint64
		Err      error
	}
)

func (Tick) isEvent()         {}
func (PeerUp) isEvent()       {}
func (PeerDown) isEvent()     {}
func (LiveEntries) isEvent()  {}
func (PeerRevision) isEvent() {}
func (PeerHead) isEvent()     {}
func (PeerFetch) isEvent()    {}
func (PeerFiles) isEvent()    {}
func (HeadRead) isEvent()     {}
func (FilesRead) isEvent()    {}
func (WatchEnded) isEvent()   {}

// Effect is something that a Follower asks its process to do.
type Effect interface{ isEffect() }

// The effects of a Follower.
type (
	// ReadHead asks for the head in the platform; HeadRead answers it.
	ReadHead struct{}
	// ReadFiles asks for file objects in the platform; FilesRead answers it.
	ReadFiles struct{ Refs []FileRef }
	// WatchHead asks for one watch call; WatchEnded answers it.
	WatchHead struct {
		Revision uint64
		Wait     time.Duration
	}
	// SendPeer sends a message to a peer; a failure needs no answer.
	SendPeer struct {
		Peer    string
		Message message.Message
	}
	// Activate puts a configuration in force.
	Activate struct{ Config *Config }
	// Report is an event for the log.
	Report struct {
		Kind     ReportKind
		Revision uint64
		Detail   string
	}
)

func (ReadHead) isEffect()  {}
func (ReadFiles) isEffect() {}
func (WatchHead) isEffect() {}
func (SendPeer) isEffect()  {}
func (Activate) isEffect()  {}
func (Report) isEffect()    {}

// ReportKind tells what a Report is about.
type ReportKind string

// The kinds of reports.
const (
	// ReportDamaged tells of an encoded head or file that is damaged.
	ReportDamaged ReportKind = "config-damaged"
	// ReportRejected tells of a revision whose files do not merge in this process.
	ReportRejected ReportKind = "config-rejected"
	// ReportDiverged tells of another head with the revision in force, as after the
	// platform was restored from an old copy.
	ReportDiverged ReportKind = "config-diverged"
)
