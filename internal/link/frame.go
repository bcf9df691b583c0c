package link

import (
	"bytes"
	"encoding/binary"

	"github.com/gobwas/ws"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// maxHandshakeFrame is the maximum payload size of a frame, in bytes, until the
	// handshake is complete.
	maxHandshakeFrame = 4 << 10
	// maxUpgradeSize is the maximum size of the HTTP upgrade request in bytes.
	maxUpgradeSize = 4 << 10
)

// rawFrame is one parsed WebSocket frame; payload aliases the input.
type rawFrame struct {
	op      ws.OpCode
	payload []byte
}

// parseFrame parses the first WebSocket frame of b and unmasks it in place. It returns the
// frame's size in bytes, or zero if b does not contain the whole frame yet; need is then
// the length that b must have before the next attempt.
func parseFrame(b []byte, fromClient bool, limit int) (f rawFrame, size, need int, err error) {
	headerSize := headerLen(b)
	if headerSize == 0 || len(b) < headerSize {
		return f, 0, max(headerSize, 2), nil
	}
	h, err := ws.ReadHeader(bytes.NewReader(b[:headerSize]))
	if err != nil {
		return f, 0, 0, protocolError("invalid frame header", err)
	}
	if err := checkHeader(h, fromClient, limit); err != nil {
		return f, 0, 0, err
	}
	size = headerSize + int(h.Length)
	if len(b) < size {
		return f, 0, size, nil
	}
	f = rawFrame{op: h.OpCode, payload: b[headerSize:size:size]}
	if h.Masked {
		ws.Cipher(f.payload, h.Mask, 0)
	}
	return f, size, 0, nil
}

// headerLen returns the length in bytes of the frame header at the start of b, or zero if
// b has fewer than the two bytes that determine it.
func headerLen(b []byte) int {
	if len(b) < 2 {
		return 0
	}
	n := 2
	switch b[1] & 0x7f {
	case 126:
		n += 2
	case 127:
		n += 8
	}
	if b[1]&0x80 != 0 {
		n += 4
	}
	return n
}

func checkHeader(h ws.Header, fromClient bool, limit int) error {
	switch {
	case h.Length > int64(limit):
		return protocolError("the frame is too large", nil)
	case h.Masked != fromClient:
		return protocolError("frames must be masked if and only if the dialling side sends them", nil)
	case !h.Fin || h.Rsv != 0:
		return protocolError("fragmented frames and extensions are not supported", nil)
	}
	switch h.OpCode {
	case ws.OpBinary:
		return nil
	case ws.OpPing, ws.OpPong, ws.OpClose:
		if h.Length > ws.MaxControlFramePayloadSize {
			return protocolError("the control frame is too large", nil)
		}
		return nil
	default:
		return protocolError("unexpected opcode", nil)
	}
}

// appendFrame appends a WebSocket frame with payload to dst. The dialling side masks its
// frames, as RFC 6455 requires of clients.
func appendFrame(dst []byte, op ws.OpCode, payload []byte, dialled bool) []byte {
	const finBit, maskBit = 0x80, 0x80
	mask := byte(0)
	if dialled {
		mask = maskBit
	}
	dst = append(dst, finBit|byte(op))
	switch n := len(payload); {
	case n < 126:
		dst = append(dst, mask|byte(n))
	case n <= 0xffff:
		dst = append(dst, mask|126)
		dst = binary.BigEndian.AppendUint16(dst, uint16(n))
	default:
		dst = append(dst, mask|127)
		dst = binary.BigEndian.AppendUint64(dst, uint64(n))
	}
	if !dialled {
		return append(dst, payload...)
	}
	key := ws.NewMask()
	dst = append(dst, key[:]...)
	start := len(dst)
	dst = append(dst, payload...)
	ws.Cipher(dst[start:], key, 0)
	return dst
}

// frameLimit returns the maximum accepted payload size in bytes.
func frameLimit(authenticated bool) int {
	if authenticated {
		return message.MaxFrameSize
	}
	return maxHandshakeFrame
}
