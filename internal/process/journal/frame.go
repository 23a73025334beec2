package journal

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/zeebo/errs"
)

// A frame is the unit of writing: the length of the payload, its checksum and the checksum of these two fields
// (each 4 bytes, little endian), then the payload. The checksums are CRC-32C.
const (
	frameHeaderBytes = 12
	maxFrameBytes    = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errBadFrame = errs.New("checksum does not match")

func appendFrame(buf, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	return append(buf, payload...)
}

// parseFrame returns the payload of the frame at the start of data.
func parseFrame(data []byte) ([]byte, error) {
	if len(data) < frameHeaderBytes {
		return nil, errBadFrame
	}
	header := data[:frameHeaderBytes]
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, errBadFrame
	}
	size := binary.LittleEndian.Uint32(header)
	if size > maxFrameBytes || uint64(size) > uint64(len(data)-frameHeaderBytes) {
		return nil, errBadFrame
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+int(size)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errBadFrame
	}
	return payload, nil
}

// parseFrames returns the payloads of data and the offset after the last intact frame. A crash can break only the
// frame that was being written, so an intact frame anywhere after a broken one means that durable data is
// corrupt: parseFrames then returns an error and the offset of the broken frame.
func parseFrames(data []byte) (payloads [][]byte, end int, err error) {
	for end < len(data) {
		payload, err := parseFrame(data[end:])
		if err != nil {
			if containsFrame(data[end+1:]) {
				return nil, end, err
			}
			return payloads, end, nil
		}
		payloads = append(payloads, payload)
		end += frameHeaderBytes + len(payload)
	}
	return payloads, end, nil
}

// containsFrame reports whether an intact, non-empty frame starts anywhere in data.
func containsFrame(data []byte) bool {
	for i := range data {
		if payload, err := parseFrame(data[i:]); err == nil && len(payload) > 0 {
			return true
		}
	}
	return false
}

func readAll(f File) ([]byte, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	n, err := f.ReadAt(data, 0)
	if err == io.EOF && int64(n) == size {
		err = nil
	}
	return data, err
}
