package journal

import (
	"bufio"
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
	// readBufferBytes is how much of a file is read at a time.
	readBufferBytes = 256 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errBadFrame = errs.New("checksum does not match")

func appendFrame(buf, payload []byte) []byte {
	return append(appendFrameHeader(buf, payload), payload...)
}

// appendFrameHeader appends the part of a frame that precedes the payload.
func appendFrameHeader(buf, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
}

// parseHeader returns the length and the checksum of the payload of a frame; ok is false if the header isn't intact.
func parseHeader(header []byte) (size int64, checksum uint32, ok bool) {
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:frameHeaderBytes]) {
		return 0, 0, false
	}
	size = int64(binary.LittleEndian.Uint32(header))
	return size, binary.LittleEndian.Uint32(header[4:]), size <= maxFrameBytes
}

// frameReader reads the frames of a file one after the other, so that only one of them is in memory at a time.
type frameReader struct {
	file   io.ReaderAt
	size   int64 // of the file
	end    int64 // offset after the last intact frame
	buffer *bufio.Reader
	// payload is reused for each frame.
	payload []byte
}

func newFrameReader(f File) (*frameReader, error) {
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	return &frameReader{file: f, size: size, buffer: bufio.NewReaderSize(io.NewSectionReader(f, 0, size), readBufferBytes)}, nil
}

// next returns the payload of the next frame, which is valid until the next call. It returns io.EOF at the end of the file and
// errBadFrame if the frame at r.end isn't intact.
func (r *frameReader) next() ([]byte, error) {
	if r.end == r.size {
		return nil, io.EOF
	}
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.buffer, header[:]); err != nil {
		return nil, badFrameAtEnd(err)
	}
	size, checksum, ok := parseHeader(header[:])
	if !ok || size > r.size-r.end-frameHeaderBytes {
		return nil, errBadFrame
	}
	if int64(cap(r.payload)) < size {
		r.payload = make([]byte, size)
	}
	r.payload = r.payload[:size]
	if _, err := io.ReadFull(r.buffer, r.payload); err != nil {
		return nil, badFrameAtEnd(err)
	}
	if crc32.Checksum(r.payload, castagnoli) != checksum {
		return nil, errBadFrame
	}
	r.end += frameHeaderBytes + size
	return r.payload, nil
}

// badFrameAtEnd converts the error of a frame that the file cuts short.
func badFrameAtEnd(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errBadFrame
	}
	return err
}

// torn reports whether everything after the last intact frame may be the rest of a write that a crash cut short. A crash can
// break only the frame that was being written, so an intact frame anywhere after a broken one means that durable data is corrupt.
func (r *frameReader) torn() (bool, error) {
	contains, err := containsFrame(r.file, r.end+1, r.size)
	return !contains, err
}

// containsFrame reports whether an intact, non-empty frame starts anywhere in file[from:to].
func containsFrame(file io.ReaderAt, from, to int64) (bool, error) {
	window := make([]byte, min(readBufferBytes, max(0, to-from)))
	for from+frameHeaderBytes <= to {
		n := int(min(int64(len(window)), to-from))
		if _, err := file.ReadAt(window[:n], from); err != nil && err != io.EOF {
			return false, err
		}
		i := 0
		for ; i+frameHeaderBytes <= n; i++ {
			size, checksum, ok := parseHeader(window[i:])
			if !ok || size == 0 || size > to-from-int64(i)-frameHeaderBytes {
				continue
			}
			intact, err := hasChecksum(file, from+int64(i)+frameHeaderBytes, size, checksum)
			if intact || err != nil {
				return intact, err
			}
		}
		from += int64(i)
	}
	return false, nil
}

// hasChecksum reports whether file[at:at+size] has a checksum.
func hasChecksum(file io.ReaderAt, at, size int64, checksum uint32) (bool, error) {
	h := crc32.New(castagnoli)
	if _, err := io.Copy(h, io.NewSectionReader(file, at, size)); err != nil {
		return false, err
	}
	return h.Sum32() == checksum, nil
}
