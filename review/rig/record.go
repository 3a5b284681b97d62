package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line each.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func openRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes one line with the time since the start in seconds and the part of the test that acted.
func (r *record) add(part, format string, args ...any) {
	r.addAt(time.Now(), part, format, args...)
}

func (r *record) addAt(at time.Time, part, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %-10s %s\n", at.Sub(r.began).Seconds(), part, fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add("verdict", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
