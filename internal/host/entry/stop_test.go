package entry

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/ctrl/state"
	"github.com/boragelane/boragelane/internal/edge/front"
	"github.com/boragelane/boragelane/internal/host/trace"
	"github.com/boragelane/boragelane/internal/stand/layout"
)

// TestAPlannedStopFinishesTheJobsOfOtherHosts stops the owner of a ticket while it runs a job that another host forwarded
// to it shortly before. The caller must get the answer.
func TestAPlannedStopFinishesTheJobsOfOtherHosts(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(129), trace.Noop())
	for _, u := range s.upstreams {
		u.SetJobTime(1600 * time.Millisecond)
	}
	tk := s.ticket("dar-a-1")
	s.hosts["dar-a-1"].cancel()
	time.Sleep(state.LookupTTL + shutdownPropagation - 1200*time.Millisecond)
	a := s.call(call{host: "dar-a-2", service: layout.Orders, key: "forwarded", ticket: tk})
	assert.Equal(t, a.outcome, "answered", "%+v", a)
	assert.Equal(t, s.countRuns("forwarded"), 1)
	<-s.hosts["dar-a-1"].Done
}

// TestAPlannedStopDeliversAnswersToSlowCallers stops a host while a caller that pipelines its requests slowly reads a large
// answer. The caller must get all of it, although its next request arrived and will not be read.
func TestAPlannedStopDeliversAnswersToSlowCallers(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	s := startSystem(t, testOptions(133), trace.Noop())
	s.hosts["dar-a-1"].cancel()
	time.Sleep(state.LookupTTL + shutdownPropagation - 2*time.Second)
	c := dialSlow(t, s.hosts["dar-a-1"].Settings.Front)
	var requests strings.Builder
	for i := range 12 {
		_, _ = fmt.Fprintf(&requests, "POST /v1/run/%s/x?size=%d HTTP/1.1\r\nHost: x\r\n%s: 1s\r\nX-Padding: %s\r\nContent-Length: 3\r\n\r\n%02d\n",
			layout.Price, size, front.HeaderTimeout, strings.Repeat("p", 1000), i)
	}
	_, err := io.WriteString(c, requests.String())
	assert.NilError(t, err)
	answers, slow := 0, bufio.NewReaderSize(c, 64<<10)
	for ; ; answers++ {
		if _, err := slow.Peek(1); err != nil {
			assert.ErrorIs(t, err, io.EOF, "after %d answers", answers)
			break
		}
		resp, err := http.ReadResponse(slow, nil)
		assert.NilError(t, err, "after %d answers", answers)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err, "%s after %d answers and %d bytes of %d", resp.Header.Get(front.HeaderOutcome), answers, len(body), size)
	}
	assert.Assert(t, answers > 0 && answers < 12, "%d answers: the host did not stop between two of them", answers)
	<-s.hosts["dar-a-1"].Done
}

// slowConn is a connection whose end here reads a little at a time.
type slowConn struct{ net.Conn }

// dialSlow connects to an address; little fits into the receive buffer.
func dialSlow(t *testing.T, addr string) slowConn {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		})
		return errors.Join(err, optErr)
	}}
	c, err := d.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return slowConn{c}
}

// Read reads at most 64 KiB, after a pause.
func (s slowConn) Read(b []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return s.Conn.Read(b[:min(len(b), 64<<10)])
}

// TestAPlannedStopDeliversRepliesToSlowHosts stops the owner of a ticket while another host, which goes on to send messages,
// has not read a large reply of it. The other host must get all of the reply.
func TestAPlannedStopDeliversRepliesToSlowHosts(t *testing.T) {
	t.Parallel()
	const size, early = 1 << 20, 3 * time.Second
	s := startSystem(t, testOptions(134), trace.Noop())
	h, tk := s.hosts["dar-a-1"], s.ticket("dar-a-1")
	h.cancel()
	time.Sleep(state.LookupTTL + shutdownPropagation - early)
	c := dialSlow(t, h.Settings.Peer)
	replies := bufio.NewReaderSize(c, 64<<10)
	assert.NilError(t, writeFrame(c, `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"version":1,"seat":"dar-a-2"}}`))
	readFrame(t, replies)
	assert.NilError(t, writeFrame(c, fmt.Sprintf(`{"jsonrpc":"2.0","id":2,"method":"own","params":{"id":"j","service":%q,"method":"POST",
		"path":"/x?size=%d","body":%q,"left":2000000,"ticket":%q,"hop":1,"from":"dar"}}`, layout.Orders, size, base64.StdEncoding.EncodeToString([]byte("k\n")), tk)))
	for begin := time.Now(); time.Since(begin) < early+time.Second; time.Sleep(10 * time.Millisecond) {
		if writeFrame(c, `{"jsonrpc":"2.0","method":"cancel","params":{"id":99}}`) != nil { // For no job.
			break
		}
	}
	reply := readFrame(t, replies)
	assert.Assert(t, strings.Contains(reply, `"kind":"answered"`), "%.200s", reply)
	<-h.Done
}

// readFrame reads a message between hosts.
func readFrame(t *testing.T, r io.Reader) string {
	var length [4]byte
	_, err := io.ReadFull(r, length[:])
	assert.NilError(t, err)
	message := make([]byte, binary.BigEndian.Uint32(length[:]))
	n, err := io.ReadFull(r, message)
	assert.NilError(t, err, "after %d bytes of %d", n, len(message))
	return string(message)
}

// writeFrame writes a message between hosts.
func writeFrame(w io.Writer, message string) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(message))), message...))
	return err
}

// TestACallerThatDoesNotReadKeepsNoTicketFromItsSuccessor stops a host while a caller doesn't read its answers. The host gives
// the caller up at the end of its time, but the tickets must be handed over.
func TestACallerThatDoesNotReadKeepsNoTicketFromItsSuccessor(t *testing.T) {
	t.Parallel()
	s := startSystem(t, testOptions(135), trace.Noop())
	h := s.hosts["dar-a-1"]
	h.Settings.StopTimeout = state.LookupTTL + shutdownPropagation + 2*time.Second
	tk := s.ticket("dar-a-1")
	assert.Equal(t, s.call(call{host: "dar-a-1", service: layout.Orders, key: "before", ticket: tk}).outcome, "answered")
	c := dialSlow(t, h.Settings.Front)
	request := fmt.Sprintf("POST /v1/run/%s/x?size=%d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nxy\n", layout.Price, 4_000_000)
	_, err := io.WriteString(c, strings.Repeat(request, 3)) // More than the kernel keeps for a caller.
	assert.NilError(t, err)
	h.cancel()
	<-h.Done
	a := s.call(call{host: "dar-a-2", service: layout.Orders, key: "before", ticket: tk})
	assert.Equal(t, a.outcome, "answered", "%+v", a)
	assert.Equal(t, s.countRuns("before"), 1)
}
