package gateway

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// PeerKeys keeps the key with which gateways sign what they have read in the store.
type PeerKeys interface {
	// PeerKey returns the key of all gateways. If there is none yet, the proposal becomes the key;
	// without a proposal PeerKey returns nil then.
	PeerKey(ctx context.Context, proposal []byte) ([]byte, error)
}

const (
	// peerKeyBytes is the length of the key of the gateways.
	peerKeyBytes = 32
	// relayMACBytes is the length of the signature of a relay message.
	relayMACBytes = 16
	// maxRelayBytes bounds a relay message with changes. Gateways read larger changes in the store.
	maxRelayBytes = 6 << 10
	// peerKeyInterval is the least time between two reads of the key, and peerKeyCheckInterval the
	// interval at which a gateway checks whether it needs the key.
	peerKeyInterval      = 2 * time.Second
	peerKeyCheckInterval = 500 * time.Millisecond
	// peerKeyTimeout bounds a read of the key.
	peerKeyTimeout = 3 * time.Second
)

// relayMessage tells the other gateways of the zone what the sender has read in the store.
type relayMessage struct {
	Sender  string                `cbor:"1,keyasint"`
	State   fleet.RelayState      `cbor:"2,keyasint"`
	Changes *fleet.RelayedChanges `cbor:"3,keyasint,omitempty"`
}

// signedRelay is an encoded relayMessage with its signature.
type signedRelay struct {
	_ struct{} `cbor:",toarray"`

	Message []byte
	MAC     []byte
}

func relayMAC(key, message []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(message) // never fails
	return mac.Sum(nil)[:relayMACBytes]
}

// signRelay encodes a relay message. It returns nil while the key is not known, or if the message is
// too large.
func (l *peerLink) signRelay(changes *fleet.RelayedChanges) *signedRelay {
	key := l.key.Load()
	if key == nil {
		return nil
	}
	message, err := cbor.Marshal(relayMessage{Sender: l.g.opts.Settings.Name, State: l.store.RelayState(), Changes: changes})
	if err != nil {
		l.g.opts.Logger.Error().Str("event", "peer-encode").Err(err).Msg("")
		return nil
	}
	if len(message) > maxRelayBytes {
		return nil
	}
	return &signedRelay{Message: message, MAC: relayMAC(*key, message)}
}

// sendChanges passes changes that this gateway has read on to the others of its zone.
func (l *peerLink) sendChanges(changes fleet.RelayedChanges) {
	socket := l.socket.Load()
	relay := l.signRelay(&changes)
	if socket == nil || relay == nil {
		return
	}
	l.sendTo(socket, l.addresses(false), workMessage{
		Sender: l.g.opts.Settings.Name, Zone: l.g.opts.Settings.AvailabilityZone, RelayOnly: true, Relay: relay,
	})
}

// handleRelay handles what another gateway of the zone has read in the store.
func (l *peerLink) handleRelay(m *workMessage) {
	if m.Relay == nil || m.Zone != l.g.opts.Settings.AvailabilityZone {
		return
	}
	key := l.key.Load()
	if key == nil {
		return
	}
	if !hmac.Equal(m.Relay.MAC, relayMAC(*key, m.Relay.Message)) {
		l.g.count.peerErrors.Inc(1)
		l.keyOutdated.Store(true)
		return
	}
	var r relayMessage
	if err := cbor.Unmarshal(m.Relay.Message, &r); err != nil || r.Sender != m.Sender {
		l.g.count.peerErrors.Inc(1)
		return
	}
	l.store.ObserveRelay(r.Sender, r.State)
	if r.Changes != nil {
		l.store.ReceiveChanges(*r.Changes)
	}
}

// readKey reads the key when the zone has so many gateways that they pass on changes, and again if
// another gateway has signed with another one. That may follow from a restore of the store.
func (l *peerLink) readKey(ctx context.Context) {
	for ctx.Err() == nil {
		pause := peerKeyCheckInterval
		needed := l.key.Load() == nil || l.keyOutdated.Load()
		if needed && l.g.opts.Keys != nil && len(l.addresses(false))+1 >= fleet.RelayMinMembers {
			l.readKeyOnce(ctx)
			pause = peerKeyInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// proposesKey reports whether this gateway makes the key if there is none: the first of each zone
// does, so that few of them try at the same time.
func (l *peerLink) proposesKey() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.peers {
		if p.zone == l.g.opts.Settings.AvailabilityZone && name < l.g.opts.Settings.Name && time.Since(p.heardAt) < peerSilenceTimeout {
			return false
		}
	}
	return true
}

func (l *peerLink) readKeyOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerKeyTimeout)
	defer cancel()
	var proposal []byte
	if l.proposesKey() {
		proposal = make([]byte, peerKeyBytes)
		if _, err := rand.Read(proposal); err != nil {
			l.g.opts.Logger.Error().Str("event", "peer-key").Err(err).Msg("")
			return
		}
	}
	key, err := l.g.opts.Keys.PeerKey(ctx, proposal)
	if err == nil && key == nil {
		return // another gateway is about to make it
	}
	if err != nil || len(key) != peerKeyBytes {
		l.g.opts.Logger.Warn().Str("event", "peer-key").Int("length", len(key)).Err(err).Msg("")
		return
	}
	l.key.Store(&key)
	l.keyOutdated.Store(false)
	l.g.opts.Logger.Info().Str("event", "peer-key").Str("outcome", "read").Msg("")
}

// sendTo sends a message to gateways.
func (l *peerLink) sendTo(socket *net.UDPConn, addrs []*net.UDPAddr, m workMessage) {
	if len(addrs) == 0 {
		return
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		l.g.opts.Logger.Error().Str("event", "peer-encode").Err(err).Msg("")
		return
	}
	for _, addr := range addrs {
		if _, err := socket.WriteToUDP(b, addr); err != nil {
			l.g.count.peerErrors.Inc(1) // a full or broken link; the next message follows soon
		}
	}
}

// logWatchRole logs whether this gateway watches a topic of the store itself.
func (g *Gateway) logWatchRole(topic fleet.Topic, watches bool) {
	outcome := "relayed"
	if watches {
		outcome = "own"
	}
	g.opts.Logger.Info().Str("event", "belief").Str("topic", "store-watch").Str("subject", topic.String()).Str("outcome", outcome).Msg("")
}
