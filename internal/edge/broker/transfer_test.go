package broker

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/watch"
)

// startTrickler starts a host that answers each request for changes byte by byte over the given time. It answers nothing else
// meanwhile: its replies to pings wait behind the answer.
func startTrickler(t *testing.T, took time.Duration) roster.Host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		buf := make([]byte, 4096)
		if _, err := c.Read(buf); err != nil {
			return
		}
		body, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 0, "result": wireUpdates{Revision: 7}})
		message := append(binary.AppendUvarint(nil, uint64(len(body))), body...)
		for _, b := range message {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(took / time.Duration(len(message)))
		}
		_, _ = c.Read(buf)
	}()
	return roster.Host{Name: "busy", Peer: ln.Addr().String()}
}

// Guards against a large policy that is fetched again and again, because a host whose answer is still arriving was taken for a frozen one.
func TestAHostThatIsSendingIsNotSilent(t *testing.T) {
	fetcher := NewUpdateFetcher(time.Now)
	defer fetcher.Close()
	updates, err := fetcher.Updates(context.Background(), startTrickler(t, 900*time.Millisecond), watch.Query{After: 1})
	assert.NilError(t, err)
	assert.Equal(t, updates.Batch.Revision, int64(7))
}
