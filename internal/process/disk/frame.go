package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame consists of a magic number (4 bytes), the length of the payload (4 bytes,
// little endian), the CRC-32C of length and payload (4 bytes, little endian), and the
// payload.
const (
	frameHeaderBytes = 12
	// MaxFrameBytes is the maximum size of the payload of a frame.
	MaxFrameBytes = 1 << 30
)

var (
	frameMagic = []byte{0xc5, 'L', 'F', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// AppendFrame appends a frame with the payload to b.
func AppendFrame(b, payload []byte) []byte {
	b = append(b, frameMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	sum := checksum(b[len(b)-4:], payload)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// ReadFrame returns the payload and the size, header included, of the frame at the
// start of b. It returns false unless a complete frame with a valid checksum starts
// there. The payload shares memory with b.
func ReadFrame(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < frameHeaderBytes || !bytes.Equal(b[:4], frameMagic) {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(b[4:8])
	if length > MaxFrameBytes || int(length) > len(b)-frameHeaderBytes {
		return nil, 0, false
	}
	size = frameHeaderBytes + int(length)
	payload = b[frameHeaderBytes:size]
	if checksum(b[4:8], payload) != binary.LittleEndian.Uint32(b[8:12]) {
		return nil, 0, false
	}
	return payload, size, true
}

// FindFrame returns the payload and the offset of the first valid frame in b.
func FindFrame(b []byte) (payload []byte, offset int, ok bool) {
	for offset < len(b) {
		next := bytes.Index(b[offset:], frameMagic)
		if next < 0 {
			break
		}
		offset += next
		if payload, _, ok := ReadFrame(b[offset:]); ok {
			return payload, offset, true
		}
		offset++
	}
	return nil, 0, false
}
