package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is: magic (4 bytes), length of the payload (4 bytes, little endian),
// CRC-32C of length and payload (4 bytes, little endian), payload.
const (
	headerBytes = 12
	// MaxFrameBytes bounds the payload of a frame.
	MaxFrameBytes = 1 << 30
)

var (
	magic      = []byte{0xc5, 'L', 'F', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// AppendFrame adds a frame around payload to b.
func AppendFrame(b, payload []byte) []byte {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	sum := checksum(b[len(b)-4:], payload)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// ReadFrame returns the payload of the frame at the start of b and the number
// of bytes that the frame takes. It returns false when no whole frame with the
// right checksum starts there. The payload shares memory with b.
func ReadFrame(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < headerBytes || !bytes.Equal(b[:4], magic) {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(b[4:8])
	if length > MaxFrameBytes || int(length) > len(b)-headerBytes {
		return nil, 0, false
	}
	size = headerBytes + int(length)
	payload = b[headerBytes:size]
	if checksum(b[4:8], payload) != binary.LittleEndian.Uint32(b[8:12]) {
		return nil, 0, false
	}
	return payload, size, true
}

// FindFrame returns the payload of the first whole frame that starts anywhere
// in b, and where it starts.
func FindFrame(b []byte) (payload []byte, at int, ok bool) {
	for at < len(b) {
		next := bytes.Index(b[at:], magic)
		if next < 0 {
			break
		}
		at += next
		if payload, _, ok := ReadFrame(b[at:]); ok {
			return payload, at, true
		}
		at++
	}
	return nil, 0, false
}
