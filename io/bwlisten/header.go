package bwlisten

import "bytes"

const (
	// fieldCost is the memory that net/http needs for a header field in addition to its
	// bytes: a map entry with the growth of the map, a slice with its element, and the
	// name. docs/design/untrusted-callers.md has the heap profile.
	fieldCost = 160
	// byteCost is for a byte of a header: it is read into a buffer, and copied once.
	byteCost = 2
	// opaqueCost is for a byte of a header that is encrypted, whose fields can't be
	// counted: that of fields of 20 bytes.
	opaqueCost = byteCost + fieldCost/20
)

// HeaderMeter computes what a header costs in memory while it arrives. The zero value is
// ready for a header.
type HeaderMeter struct {
	fields int
	// line is the length of the current line, without carriage returns.
	line int
	done bool
}

// Fields returns the number of lines so far, with the first one of the message.
func (mtr *HeaderMeter) Fields() int { return mtr.fields }

// Add returns the memory for the next bytes that arrive, up to the end of the header.
func (mtr *HeaderMeter) Add(data []byte) int64 {
	cost := int64(0)
	for len(data) > 0 && !mtr.done {
		length := bytes.IndexByte(data, '\n') + 1
		if length == 0 {
			mtr.line += len(data) - bytes.Count(data, []byte{'\r'})
			return cost + int64(len(data))*byteCost
		}
		line := data[:length-1]
		mtr.line += len(line) - bytes.Count(line, []byte{'\r'})
		mtr.done = mtr.line == 0 && mtr.fields > 0
		mtr.line = 0
		mtr.fields++
		cost += int64(length)*byteCost + fieldCost
		data = data[length:]
	}
	return cost
}

// bufferCost returns the most memory that the bytes of a buffer may need as a header.
func bufferCost(data []byte) int64 {
	return int64(len(data))*byteCost + int64(bytes.Count(data, []byte{'\n'}))*fieldCost
}
