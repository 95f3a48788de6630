package linger

import (
	"context"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// answerSize is more than the caller's kernel takes while the caller doesn't read, and less than the buffers of both.
	answerSize = 96 << 10
	// readLate is how long the caller doesn't read; it is longer than any caller needs to close a connection.
	readLate = 1500 * time.Millisecond
)

// accept returns the two ends of a connection; the caller's end has a small receive buffer.
func accept(t *testing.T, ln net.Listener) (server net.Conn, caller *net.TCPConn) {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
		assert.NilError(t, err)
		return optErr
	}}
	c, err := d.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	server, err = ln.Accept()
	assert.NilError(t, err)
	assert.NilError(t, server.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(2*answerSize))
	return server, c.(*net.TCPConn)
}

func listen(t *testing.T) *Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &Listener{Listener: ln, Clock: time.Now}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func waitFor(t *testing.T, l *Listener, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return l.Wait(ctx)
}

// TestACloseKeepsWhatThePeerHasNotRead closes a connection whose caller reads late and still sends, before and after the close.
func TestACloseKeepsWhatThePeerHasNotRead(t *testing.T) {
	t.Parallel()
	l := listen(t)
	server, caller := accept(t, l)
	_, err := caller.Write([]byte("unread"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = server.Write(make([]byte, answerSize))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	_, err = caller.Write([]byte("late"))
	assert.NilError(t, err)
	time.Sleep(readLate)
	got, err := io.ReadAll(caller)
	assert.NilError(t, err, "after %d bytes of %d", len(got), answerSize)
	assert.Equal(t, len(got), answerSize)
	assert.NilError(t, waitFor(t, l, 5*time.Second))
}

// TestAClosedConnectionEndsWhenThePeerHasAllOfIt has a caller that reads nothing more, sends and never closes.
func TestAClosedConnectionEndsWhenThePeerHasAllOfIt(t *testing.T) {
	t.Parallel()
	l := listen(t)
	server, caller := accept(t, l)
	_, err := server.Write([]byte("short"))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	_, err = caller.Write([]byte("late"))
	assert.NilError(t, err)
	assert.NilError(t, waitFor(t, l, 5*time.Second))
	got, err := io.ReadAll(caller)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "short")
}

// TestWaitEndsWithItsContext has a caller that never reads.
func TestWaitEndsWithItsContext(t *testing.T) {
	t.Parallel()
	l := listen(t)
	server, _ := accept(t, l)
	_, err := server.Write(make([]byte, answerSize))
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	assert.ErrorContains(t, waitFor(t, l, 200*time.Millisecond), "closing the connections")
}

// TestACloseEndsABlockedRead guards against a request that is read after the close, runs and can't be answered.
func TestACloseEndsABlockedRead(t *testing.T) {
	t.Parallel()
	l := listen(t)
	server, caller := accept(t, l)
	ended := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 10))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
	_, err := caller.Write([]byte("request"))
	assert.NilError(t, err)
	n, err := server.Read(make([]byte, 10))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestConnectionsMayCloseDuringAWait closes a connection while a Wait that began without any is in progress.
func TestConnectionsMayCloseDuringAWait(t *testing.T) {
	t.Parallel()
	for i := range 100 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			l := listen(t)
			server, _ := accept(t, l)
			waited := make(chan error, 1)
			go func() { waited <- waitFor(t, l, 5*time.Second) }()
			assert.NilError(t, server.Close())
			assert.NilError(t, <-waited)
		})
	}
}
