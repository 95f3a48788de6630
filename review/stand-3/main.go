//go:build review3

// Command stand-3 plays the cases of a review against processes of the project: the platform's store, servers and clients are stand-ins
// in this process.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const held, broken, unable = 0, 1, 2

var (
	record   *bufio.Writer
	recordMu sync.Mutex
	began    = time.Now()
	cleanup  []func()
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%9.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func end(code int) {
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	recordMu.Lock()
	_ = record.Flush()
	os.Exit(code)
}

// fail ends a case that can't run.
func fail(format string, args ...any) {
	note("can't run: "+format, args...)
	fmt.Printf("can't run: "+format+"\n", args...)
	end(unable)
}

// say writes a line to the record and to the output.
func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// status returns the status of a GET, or 0.
func status(address, path string) int {
	resp, err := probe.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// free returns a free loopback address.
func free() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no port: %v", err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand-3 CASE FOLDER")
		os.Exit(unable)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	record = bufio.NewWriter(f)
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		fail("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		cleanup = append(cleanup, func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(dir string, trouble bool) int{"quota": quotaCase, "behind": behindCase, "leaving": leavingCase, "popular": popularCase}
	play := cases[os.Args[1]]
	if play == nil {
		fail("no case %s", os.Args[1])
	}
	end(play(dir, trouble))
}
