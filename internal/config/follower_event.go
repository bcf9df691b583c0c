package config

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Event is an input to a Follower.
type Event interface{ isEvent() }

// The events of a Follower.
type (
	// Tick reports that time has passed; it is expected every tickInterval.
	Tick struct{}
	// PeerUp reports a new link to an entry or agent.
	PeerUp struct{ Peer string }
	// PeerDown reports that the last link to a peer has ended.
	PeerDown struct{ Peer string }
	// LiveEntries lists the live entries of the process's availability zone, as far as
	// the process knows; its own name need not be among them.
	LiveEntries struct{ Names []string }
	// PeerRevision reports the active revision from a peer's heartbeat or zone report.
	PeerRevision struct {
		Peer     string
		Revision uint64
	}
	// PeerHead reports a ConfigHead message.
	PeerHead struct {
		Peer string
		Head []byte
	}
	// PeerFetch reports a ConfigFetch message.
	PeerFetch struct {
		Peer    string
		Digests []string
	}
	// PeerFiles reports a ConfigFiles message.
	PeerFiles struct {
		Peer  string
		Files []message.ConfigFile
	}
	// HeadRead is the result of ReadHead.
	HeadRead struct {
		// Value is the encoded head, nil if there is none.
		Value []byte
		// Revision is the store's revision to watch from.
		Revision uint64
		Err      error
	}
	// FilesRead is the result of ReadFiles.
	FilesRead struct {
		Files []File
		Err   error
	}
	// WatchEnded is the result of WatchHead.
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

// Effect is an action that a Follower requests from its process.
type Effect interface{ isEffect() }

// The effects of a Follower.
type (
	// ReadHead reads the head from the platform; its result is a HeadRead.
	ReadHead struct{}
	// ReadFiles reads file objects from the platform; its result is a FilesRead.
	ReadFiles struct{ Refs []FileRef }
	// WatchHead makes one watch call to the platform; its result is a WatchEnded.
	WatchHead struct {
		Revision uint64
		Wait     time.Duration
	}
	// SendPeer sends a message to a peer; a failure need not be reported.
	SendPeer struct {
		Peer    string
		Message message.Message
	}
	// Activate makes Config the active configuration of the process.
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

// ReportKind is the subject of a Report.
type ReportKind string

// The kinds of reports.
const (
	// ReportDamaged is the kind for an encoded head or a file that is damaged.
	ReportDamaged ReportKind = "config-damaged"
	// ReportRejected is the kind for a revision whose files do not merge in this process.
	ReportRejected ReportKind = "config-rejected"
	// ReportDiverged is the kind for a different head with the active revision, for
	// example after the platform was restored from an old copy.
	ReportDiverged ReportKind = "config-diverged"
)
