package forwarder

import (
	"bufio"
	"bytes"
	"io"

	"github.com/gobwas/ws"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxHello is the maximum size of the Hello frame in bytes.
const maxHello = 8 << 10

// upgradeTap is a connection whose WebSocket upgrade is forwarded to out before the
// source is known.
type upgradeTap struct {
	io.Reader
	out io.Writer
}

// sniffHello forwards the upgrade request and reads the Hello that follows it. It
// returns the names in the Hello and a reader of everything from the Hello on. A source
// that does not speak the protocol has no names.
func sniffHello(in io.Reader) (rest io.Reader, from Names) {
	tap, ok := in.(*upgradeTap)
	if !ok {
		return in, nil
	}
	br := bufio.NewReaderSize(tap.Reader, maxHello)
	for {
		line, err := br.ReadSlice('\n')
		_, _ = tap.out.Write(line)
		if err != nil {
			return br, nil
		}
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	var raw bytes.Buffer
	from = readHello(io.TeeReader(br, &raw))
	return io.MultiReader(&raw, br), from
}

// readHello returns the names in the Hello at the start of r.
func readHello(r io.Reader) Names {
	h, err := ws.ReadHeader(r)
	if err != nil || h.Length > maxHello {
		return nil
	}
	payload := make([]byte, h.Length)
	if _, err := io.ReadFull(r, payload); err != nil {
		return nil
	}
	ws.Cipher(payload, h.Mask, 0)
	m, err := message.Decode(payload)
	if err != nil {
		return nil
	}
	hello, ok := m.(*message.Hello)
	if !ok {
		return nil
	}
	return Names{hello.Identity.Name, hello.Identity.AvailabilityZone}
}
