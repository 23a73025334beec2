package sheet

import (
	"bytes"
	"unicode/utf8"
)

var (
	byteOrderMark  = []byte("\xef\xbb\xbf")
	utf16MarkLE    = []byte("\xff\xfe")
	utf16MarkBE    = []byte("\xfe\xff")
	separatorLine  = []byte("sep=")
	delimiterBytes = []byte{',', ';', '\t'}
)

const encodingHint = `export the sheet as "CSV UTF-8"`

// encodingFault returns a fault if data is not UTF-8, else nil.
func encodingFault(data []byte) *Fault {
	if bytes.HasPrefix(data, utf16MarkLE) || bytes.HasPrefix(data, utf16MarkBE) || bytes.IndexByte(data, 0) >= 0 {
		return &Fault{Row: 1, Problem: "the file is UTF-16 or binary; " + encodingHint}
	}
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return &Fault{
				Row:     1 + bytes.Count(data[:i], []byte("\n")),
				Read:    string(lineAround(data, i)),
				Problem: "the file is not UTF-8 (Latin-1, Windows-1250 or the like); " + encodingHint,
			}
		}
		i += size
	}
	return nil
}

// lineAround returns the line of data that contains offset, with invalid bytes replaced by question marks.
func lineAround(data []byte, offset int) []byte {
	begin := bytes.LastIndexByte(data[:offset], '\n') + 1
	line, _, _ := bytes.Cut(data[begin:], []byte("\n"))
	return bytes.ToValidUTF8(bytes.TrimSpace(line), []byte("?"))
}

// delimiter returns the delimiter that the first line declares (sep=;), else the one that occurs most often in it,
// and whether the first line is such a declaration.
func delimiter(data []byte) (comma rune, declared bool) {
	first, _, _ := bytes.Cut(data, []byte("\n"))
	first = bytes.TrimRight(first, "\r")
	if rest, ok := bytes.CutPrefix(first, separatorLine); ok && len(rest) == 1 && bytes.IndexByte(delimiterBytes, rest[0]) >= 0 {
		return rune(rest[0]), true
	}
	best := delimiterBytes[0]
	for _, c := range delimiterBytes {
		if bytes.Count(first, []byte{c}) > bytes.Count(first, []byte{best}) {
			best = c
		}
	}
	return rune(best), false
}
