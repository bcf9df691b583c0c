package link

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"

	"github.com/gobwas/ws"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	nonceSize = 32 // bytes

	acceptLabel = "gentiantrail link accept 1"
	dialLabel   = "gentiantrail link dial 1"
)

// errUpgradeIncomplete reports that only a part of the upgrade request has arrived.
var errUpgradeIncomplete = errors.New("the upgrade request is incomplete")

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // never fails
	return nonce
}

// proof returns the HMAC-SHA256 over label, both identities and both nonces. The labels
// differ by direction, so that a proof cannot be reflected to its sender.
func proof(key []byte, label string, dialler *message.Hello, acceptor *message.Welcome) []byte {
	mac := hmac.New(sha256.New, key)
	writeField(mac, []byte(label))
	writeIdentity(mac, dialler.Identity)
	writeField(mac, dialler.Nonce)
	writeIdentity(mac, acceptor.Identity)
	writeField(mac, acceptor.Nonce)
	return mac.Sum(nil)
}

func writeIdentity(w io.Writer, id message.Identity) {
	writeField(w, []byte{byte(id.Role)})
	writeField(w, []byte(id.Name))
	writeField(w, []byte(id.AvailabilityZone))
	writeField(w, binary.BigEndian.AppendUint64(nil, id.Incarnation))
	writeField(w, []byte(id.Address))
	writeField(w, []byte(id.Pool))
}

// writeField writes the length of b and then b, so that the bounds of fields are unambiguous.
func writeField(w io.Writer, b []byte) {
	_, _ = w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b)))) // a hash never returns an error
	_, _ = w.Write(b)
}

// acceptUpgrade handles the HTTP upgrade request at the start of b. It returns the response
// and the number of bytes consumed, or errUpgradeIncomplete.
func acceptUpgrade(b []byte) (response []byte, used int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > maxUpgradeSize {
			return nil, 0, handshakeError("the upgrade request is too large", nil)
		}
		return nil, 0, errUpgradeIncomplete
	}
	used = end + len("\r\n\r\n")
	if used > maxUpgradeSize {
		return nil, 0, handshakeError("the upgrade request is too large", nil)
	}
	conn := &upgradeConn{Reader: bytes.NewReader(b[:used])}
	if _, err := ws.Upgrade(conn); err != nil {
		return conn.out.Bytes(), used, handshakeError("the HTTP upgrade failed", err)
	}
	return conn.out.Bytes(), used, nil
}

// upgradeConn makes ws.Upgrade read from one buffer and write to another.
type upgradeConn struct {
	io.Reader
	out bytes.Buffer
}

// Write implements io.Writer.
func (c *upgradeConn) Write(p []byte) (int, error) { return c.out.Write(p) }

// handleHandshake handles one message of the handshake. It returns true once the peer is
// authenticated.
func (l *link) handleHandshake(m message.Message) (done bool, err error) {
	switch m := m.(type) {
	case *message.Hello:
		if l.dialled || l.hello != nil {
			break
		}
		return false, l.acceptHello(m)
	case *message.Welcome:
		if !l.dialled {
			break
		}
		return true, l.acceptWelcome(m)
	case *message.Auth:
		if l.dialled || l.welcome == nil {
			break
		}
		return true, l.acceptAuth(m)
	}
	return false, handshakeError("unexpected handshake message", nil)
}

func (l *link) acceptHello(hello *message.Hello) error {
	if len(hello.Nonce) != nonceSize {
		return handshakeError("the nonce has the wrong length", nil)
	}
	if err := l.checkIdentity(hello.Identity); err != nil {
		return err
	}
	l.hello = hello
	l.welcome = &message.Welcome{Identity: l.node.cfg.Identity, Nonce: newNonce()}
	l.welcome.MAC = proof(l.node.cfg.Key, acceptLabel, hello, l.welcome)
	l.identity = hello.Identity
	return l.enqueue(l.welcome)
}

func (l *link) acceptWelcome(welcome *message.Welcome) error {
	if len(welcome.Nonce) != nonceSize {
		return handshakeError("the nonce has the wrong length", nil)
	}
	want := proof(l.node.cfg.Key, acceptLabel, l.hello, welcome)
	if !hmac.Equal(want, welcome.MAC) {
		return handshakeError("the peer has another link key", nil)
	}
	if err := l.checkIdentity(welcome.Identity); err != nil {
		return err
	}
	l.identity = welcome.Identity
	return l.enqueue(&message.Auth{MAC: proof(l.node.cfg.Key, dialLabel, l.hello, welcome)})
}

func (l *link) acceptAuth(auth *message.Auth) error {
	want := proof(l.node.cfg.Key, dialLabel, l.hello, l.welcome)
	if !hmac.Equal(want, auth.MAC) {
		return handshakeError("the peer has another link key", nil)
	}
	return nil
}

// checkIdentity returns an error if the peer has no name or is this process.
func (l *link) checkIdentity(id message.Identity) error {
	own := l.node.cfg.Identity
	if id.Name == "" {
		return handshakeError("the peer has no name", nil)
	}
	if id.Name == own.Name && id.Role == own.Role && id.Incarnation == own.Incarnation {
		return handshakeError("the peer is this process", nil)
	}
	return nil
}
