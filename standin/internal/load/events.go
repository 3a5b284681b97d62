package load

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxLine limits the length of one line of a stream, in bytes.
const maxLine = 1 << 20

// errLineTooLong is returned for a line longer than maxLine.
var errLineTooLong = errors.New("a line of the stream exceeds the size limit")

// eventReader parses a stream of server-sent events.
type eventReader struct {
	lines *bufio.Reader
	line  []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReader(body)}
}

// next returns the name and data of the next complete event. An event without its
// closing blank line was cut off and is dropped. The data is valid until the next
// call.
func (r *eventReader) next() (string, []byte, error) {
	name := ""
	var data []byte
	for {
		line, err := r.readLine()
		if err != nil {
			return "", nil, err
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && name == "" && data == nil:
			continue // comments end with a blank line too
		case len(line) == 0:
			return name, data, nil
		case string(field) == "event":
			name = string(value)
		case string(field) == "data":
			data = append(data, value...)
		}
	}
}

func (r *eventReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		r.line = append(r.line, part...)
		if err == nil {
			return bytes.TrimRight(r.line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, fmt.Errorf("reading the stream: %w", err)
		}
		if len(r.line) > maxLine {
			return nil, errLineTooLong
		}
	}
}
