package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"
)

// MaxFrame is the maximum size of a message between hosts, in bytes.
const MaxFrame = 8 << 20

// Meter counts the bytes of received and sent messages, including frame headers.
type Meter struct {
	In  atomic.Int64
	Out atomic.Int64
}

// frameCodec encodes a message as JSON behind a big-endian length of four bytes.
type frameCodec struct {
	meter *Meter
}

// WriteObject encodes a message and writes it as one frame.
func (f frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return ErrFrame.Wrap(err, "encoding a message")
	}
	if len(data) > MaxFrame {
		return ErrFrame.New("message of %d bytes exceeds the limit of %d", len(data), MaxFrame)
	}
	buf := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	if _, err := w.Write(append(buf, data...)); err != nil {
		return ErrLost.Wrap(err, "writing a message")
	}
	f.meter.Out.Add(int64(4 + len(data)))
	return nil
}

// ReadObject reads one frame and decodes its message.
func (f frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxFrame {
		return ErrFrame.New("message of %d bytes exceeds the limit of %d", n, MaxFrame)
	}
	data := make([]byte, 0, min(n, 64<<10))
	data, err := readInChunks(r, data, int(n))
	if err != nil {
		return err
	}
	f.meter.In.Add(int64(4 + n))
	if err := json.Unmarshal(data, v); err != nil {
		return ErrFrame.Wrap(err, "decoding a message")
	}
	return nil
}

// readInChunks reads n bytes and grows its buffer as they arrive, so that a false length can't exhaust memory.
func readInChunks(r io.Reader, data []byte, n int) ([]byte, error) {
	const chunkSize = 64 << 10
	for len(data) < n {
		want := min(chunkSize, n-len(data))
		offset := len(data)
		data = append(data, make([]byte, want)...)
		if _, err := io.ReadFull(r, data[offset:]); err != nil {
			return nil, err
		}
	}
	return data, nil
}
