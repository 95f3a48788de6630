package broker

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes bounds a message between hosts. A snapshot of 1,600 upstreams takes about 100 kB.
const maxMessageBytes = 16 << 20

// codec reads and writes messages with a length prefix, and refuses longer ones than maxMessageBytes before it reads them.
type codec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject reads one message.
func (codec) ReadObject(stream *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if n > maxMessageBytes {
		return ErrCall.New("message of %d bytes exceeds %d", n, maxMessageBytes)
	}
	data, err := io.ReadAll(io.LimitReader(stream, int64(n)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < n {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

func newStream(c net.Conn) jsonrpc2.ObjectStream { return jsonrpc2.NewBufferedStream(c, codec{}) }
