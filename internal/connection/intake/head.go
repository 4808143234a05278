package intake

import "bytes"

// What net/http allocates for a head of a request and the product keeps of it, as an upper bound. A
// header line takes an entry of a map, a slice and a string, and the same again in the copy that is
// sent to targets: some 200 bytes for "a:" lines with different names.
const (
	lineCost = 256
	byteCost = 3
)

// headScanner counts the head of a request as it arrives.
type headScanner struct {
	bytes, lines, emptyLines int
	// lineBytes is the length of the current line without its end.
	lineBytes int
	// isCR: the current line is a single carriage return.
	isCR bool
}

// scan counts the bytes of p that belong to the head, and reports whether the head ends in p. Empty
// lines before the first line are counted, and don't end the head.
func (s *headScanner) scan(p []byte) (ended bool) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.extend(p)
			return false
		}
		s.extend(p[:end])
		s.bytes++
		empty := s.lineBytes == 0 || s.isCR
		s.lineBytes, s.isCR = 0, false
		p = p[end+1:]
		switch {
		case !empty:
			s.lines++
		case s.lines > 0:
			return true
		default:
			s.emptyLines++
		}
	}
	return false
}

// extend adds bytes to the current line.
func (s *headScanner) extend(p []byte) {
	if len(p) == 0 {
		return
	}
	s.isCR = s.lineBytes == 0 && len(p) == 1 && p[0] == '\r'
	s.bytes += len(p)
	s.lineBytes += len(p)
}

// cost returns the memory that the head needs.
func (s *headScanner) cost() int64 {
	return int64(s.lines)*lineCost + int64(s.bytes)*byteCost
}
